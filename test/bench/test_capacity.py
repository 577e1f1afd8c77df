"""The table that the capacity command prints."""

import re

from filbertshelf.bench.capacity import SMOKE
from filbertshelf.commands.main import main


def test_each_part_has_a_row_for_each_size(capsys):
    assert main(["filbertshelf", "capacity", "--smoke"]) == 0
    header, *lines = capsys.readouterr().out.splitlines()
    assert header.split() == ["part", "measure", "size", "value", "unit"]
    sizes = {}
    for line in filter(None, lines[:-1]):
        part, measure, size, value, _unit = re.split(r"\s{2,}", line)
        sizes.setdefault(part, set()).add(size)
        # `rest` is a difference of measurements and can be negative.
        assert float(value) >= 0 or measure == "rest", line
    expected = {
        "membership": SMOKE.members,
        "configuration": SMOKE.entries,
        "spread": SMOKE.spread_nodes,
        "query, stub links": SMOKE.fan_outs,
        "query, HTTP": SMOKE.fan_outs,
        "gateway query, HTTP": SMOKE.fan_outs,
        "latency": "-",
        "memory": "-",
        "sizes": "-",
        "bookings": SMOKE.records,
        "decisions": "-",
        "refusal, HTTP": SMOKE.refusal_fan_outs,
        "shared frame": SMOKE.frames,
        "idle instance": SMOKE.idle_targets,
    }
    assert sizes == {
        part: {str(s) for s in part_sizes} for part, part_sizes in expected.items()
    }
