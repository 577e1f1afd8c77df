"""The bound on log lines of details."""

from __future__ import annotations

from filbertshelf.state.line_limit import (
    PER_REQUEST,
    PER_SECOND,
    LineLimit,
    RequestLines,
)


def test_a_request_writes_a_bounded_number_of_lines():
    # Guards against 90 lines for a query over 90 shards that fail.
    lines = RequestLines(LineLimit())
    written = sum(lines.allows(0.0) for _ in range(90))
    assert (written, lines.left_out) == (PER_REQUEST, 90 - PER_REQUEST)


def test_a_second_has_a_bounded_number_of_lines():
    limit = LineLimit()
    written = [sum(limit.allows(second) for _ in range(1_000)) for second in (5.1, 6.0)]
    assert written == [PER_SECOND, PER_SECOND]
    assert limit.left_out == 2 * (1_000 - PER_SECOND)
