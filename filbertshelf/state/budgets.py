"""Budgets for retries and hedges, and the delay before a hedge."""

from __future__ import annotations

from hdrh.histogram import HdrHistogram

from filbertshelf.clock import Clock

_UNIT = 1_000_000

SLICE_S = 10.0
"""The window holds the current slice and the one before: 10 to 20 seconds."""

MAX_LATENCY_US = 120_000_000
"""The largest latency told apart: twice the longest deadline."""

DIGITS = 2
"""Significant digits of a latency; 1% is finer than the spread of any service."""

CACHE_S = 1.0
"""How long a computed quantile is reused; computing it costs 100 to 150 us."""

MIN_SAMPLES = 50
"""Fewer samples than this say nothing about a 95th percentile."""

HEDGE_QUANTILE = 0.99
"""Hedging later than this percentile keeps the hedges below 5% of sub-requests."""

MAX_MEDIANS = 3.0
"""A hedge comes at this multiple of the median at the latest.

While a slow replica still gets its share, its latencies are the 95th percentile; the
median stays that of the fast ones.
"""

MIN_HEDGE_S = 0.001
"""A hedge before this cannot overtake the first attempt."""


class TokenBudget:
    """Tokens that events earn and that retries or hedges spend.

    The spends never exceed ratio x deposits + burst. Counts in millionths, because
    sums of floats would drift above the bound.
    """

    __slots__ = ("_burst", "_earned", "_tokens")

    def __init__(self, ratio: float, burst: int):
        self._earned = int(ratio * _UNIT)
        self._burst = burst * _UNIT
        self._tokens = self._burst

    @property
    def tokens(self) -> float:
        """Return how many spends are left."""
        return self._tokens / _UNIT

    def deposit(self, n: int = 1) -> None:
        """Earn `n` x ratio tokens; at most `burst` tokens are kept."""
        self._tokens = min(self._burst, self._tokens + n * self._earned)

    def try_spend(self) -> bool:
        """Take one token; return False and take nothing if there is none."""
        if self._tokens < _UNIT:
            return False
        self._tokens -= _UNIT
        return True


class LatencyWindow:
    """The latencies of the last 10 to 20 seconds."""

    __slots__ = ("_cache", "_cached_at", "_clock", "_current", "_previous", "_since")

    def __init__(self, clock: Clock):
        self._clock = clock
        self._current = HdrHistogram(1, MAX_LATENCY_US, DIGITS)
        self._previous = HdrHistogram(1, MAX_LATENCY_US, DIGITS)
        self._since = clock.monotonic()
        self._cache: dict[float, float | None] = {}
        self._cached_at = self._since

    def record(self, seconds: float) -> None:
        """Add one latency."""
        self._rotate(self._clock.monotonic())
        value = min(MAX_LATENCY_US, max(1, int(seconds * _UNIT)))
        self._current.record_value(value)

    def quantile(self, q: float) -> float | None:
        """Return the latency in seconds at `q` (0 to 1), None with few samples.

        The value may be `CACHE_S` old.
        """
        now = self._clock.monotonic()
        if now - self._cached_at > CACHE_S:
            self._cache.clear()
            self._cached_at = now
        if self._cache.get(q) is None:
            self._rotate(now)
            self._cache[q] = self._compute(q)
        return self._cache[q]

    def _rotate(self, now: float) -> None:
        age = now - self._since
        if age < SLICE_S:
            return
        self._current, self._previous = self._previous, self._current
        self._current.reset()
        if age >= 2 * SLICE_S:
            self._previous.reset()
        self._since = now

    def _compute(self, q: float) -> float | None:
        current, previous = self._current, self._previous
        if current.total_count + previous.total_count < MIN_SAMPLES:
            return None
        if current.total_count and previous.total_count:
            merged = HdrHistogram(1, MAX_LATENCY_US, DIGITS)
            merged.add(current)
            merged.add(previous)
        else:
            merged = current if current.total_count else previous
        return merged.get_value_at_percentile(100.0 * q) / _UNIT


def hedge_delay(window: LatencyWindow, deadline_left: float) -> float | None:
    """Return after how many seconds to hedge, None if a hedge is of no use.

    None if there are too few samples, or if the time left after the delay is less
    than the median latency, since the hedge would not answer in time.
    """
    delay = window.quantile(HEDGE_QUANTILE)
    median = window.quantile(0.5)
    if delay is None or median is None:
        return None
    delay = max(min(delay, MAX_MEDIANS * median), MIN_HEDGE_S)
    return delay if delay + median <= deadline_left else None
