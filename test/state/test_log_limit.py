"""The limits on the number of detail lines in the log."""

from __future__ import annotations

from filbertshelf.state.log_limit import (
    MAX_LINES_PER_REQUEST,
    MAX_LINES_PER_SECOND,
    LogRateLimit,
    RequestLogLimit,
)


def test_a_request_writes_a_bounded_number_of_lines():
    # Guards against 90 lines for a query over 90 shards that all fail.
    lines = RequestLogLimit(LogRateLimit())
    written = sum(lines.allows(0.0) for _ in range(90))
    assert (written, lines.left_out) == (
        MAX_LINES_PER_REQUEST,
        90 - MAX_LINES_PER_REQUEST,
    )


def test_a_process_writes_a_bounded_number_of_lines_per_second():
    limit = LogRateLimit()
    written = [sum(limit.allows(second) for _ in range(1_000)) for second in (5.1, 6.0)]
    assert written == [MAX_LINES_PER_SECOND, MAX_LINES_PER_SECOND]
    assert limit.left_out == 2 * (1_000 - MAX_LINES_PER_SECOND)
