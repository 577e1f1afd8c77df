"""Validation of the INI settings of an instance."""

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


def test_missing_settings_get_their_defaults():
    cfg = parse_settings(GOOD)
    assert cfg.listen == ("127.0.0.1", 0)
    assert cfg.platform == ("127.0.0.1", 8500)


def test_all_problems_are_reported_together():
    # Guards against stopping at the first problem in a settings file.
    text = "[instance]\nnam = x\n[limits]\nmax_queries = none\n[extra]\na = b\n"
    with pytest.raises(SettingsError) as caught:
        parse_settings(text)
    places = {problem.where for problem in caught.value.problems}
    assert {
        "[instance] nam",
        "[instance] name",
        "[instance] data_centre",
        "[peers] fleet_key",
        "[platform] platform",
        "[limits] max_queries",
        "[extra] a",
    } <= places
