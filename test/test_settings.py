"""Settings are checked whole."""

import pytest

from filbertshelf.errors import SettingsError
from filbertshelf.settings import parse_settings

GOOD = """
[instance]
name = entry-1
data_centre = bne-1
[peers]
fleet_key = 0123456789abcdef
[platform]
platform = 127.0.0.1:8500
"""


def test_defaults_fill_what_the_file_leaves_out():
    cfg = parse_settings(GOOD)
    assert cfg.listen == ("127.0.0.1", 0)
    assert cfg.platform == ("127.0.0.1", 8500)


def test_every_problem_is_reported_at_once():
    # Guards against stopping at the first fault of a settings file.
    text = "[instance]\nnam = x\n[limits]\nmax_queries = none\n[extra]\na = b\n"
    with pytest.raises(SettingsError) as caught:
        parse_settings(text)
    found = {problem.where for problem in caught.value.problems}
    assert {
        "[instance] nam",
        "[instance] name",
        "[instance] data_centre",
        "[peers] fleet_key",
        "[platform] platform",
        "[limits] max_queries",
        "[extra] a",
    } <= found
