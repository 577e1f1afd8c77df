"""Token budgets for retries and hedges, and the hedge delay of queries."""

from __future__ import annotations

from filbertshelf.clock import Clock
from filbertshelf.state.latency_histogram import LatencyHistogram

_MILLION = 1_000_000

SLICE_S = 10.0
"""The length of a slice; a window holds the current slice and the one before."""

MAX_LATENCY_US = 120_000_000
"""The highest latency that is recorded, twice the longest deadline.

Higher latencies are recorded as this value.
"""

CACHE_S = 1.0
"""How long a quantile is cached; computing it takes 100 to 150 us."""

MIN_SAMPLES = 50
"""The lowest number of samples from which a 95th percentile is estimated."""

HEDGE_QUANTILE = 0.99
"""The latency quantile after which a hedge is sent.

At this quantile hedges stay below 5% of the sub-requests.
"""

MAX_MEDIAN_FACTOR = 3.0
"""The longest hedge delay as a multiple of the median latency.

While a slow replica still gets its share of requests, it determines the 95th
percentile, but the median remains that of the fast replicas.
"""

MIN_HEDGE_S = 0.001
"""The shortest hedge delay; an earlier hedge can't finish before the first attempt."""


class TokenBudget:
    """A budget that deposits increase and that retries or hedges spend.

    The number of spends never exceeds ratio x deposits + burst. Tokens are counted in
    millionths, because rounding errors of floats would add up and break the bound.
    """

    __slots__ = ("_burst", "_per_deposit", "_tokens")

    def __init__(self, ratio: float, burst: int):
        self._per_deposit = int(ratio * _MILLION)
        self._burst = burst * _MILLION
        self._tokens = self._burst

    @property
    def tokens(self) -> float:
        """Return the number of tokens left."""
        return self._tokens / _MILLION

    def deposit(self, count: int = 1) -> None:
        """Add `count` x ratio tokens; at most `burst` tokens are kept."""
        self._tokens = min(self._burst, self._tokens + count * self._per_deposit)

    def try_spend(self) -> bool:
        """Take one token; return False and take nothing if there is none."""
        if self._tokens < _MILLION:
            return False
        self._tokens -= _MILLION
        return True


class LatencyWindow:
    """The latencies of the last 10 to 20 seconds."""

    __slots__ = (
        "_cache",
        "_cached_at",
        "_clock",
        "_current",
        "_previous",
        "_slice_started_at",
    )

    def __init__(self, clock: Clock):
        self._clock = clock
        self._current = LatencyHistogram()
        self._previous = LatencyHistogram()
        self._slice_started_at = clock.monotonic()
        self._cache: dict[float, float | None] = {}
        self._cached_at = self._slice_started_at

    def record(self, seconds: float) -> None:
        """Add one latency in seconds."""
        self._rotate(self._clock.monotonic())
        value = min(MAX_LATENCY_US, max(1, int(seconds * _MILLION)))
        self._current.record(value)

    def quantile(self, q: float) -> float | None:
        """Return the quantile `q` (0 to 1) in seconds, None with too few samples.

        The value may be up to `CACHE_S` seconds old.
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
        age = now - self._slice_started_at
        if age < SLICE_S:
            return
        self._current, self._previous = self._previous, self._current
        self._current.clear()
        if age >= 2 * SLICE_S:
            self._previous.clear()
        self._slice_started_at = now

    def _compute(self, q: float) -> float | None:
        current, previous = self._current, self._previous
        if current.total_count + previous.total_count < MIN_SAMPLES:
            return None
        return current.percentile(100.0 * q, previous) / _MILLION


def hedge_delay(window: LatencyWindow, deadline_left: float) -> float | None:
    """Return after how many seconds to send a hedge, None if none should be sent.

    None is returned if there are too few samples, or if less than the median latency
    would remain after the delay, so that the hedge would probably answer too late.
    """
    delay = window.quantile(HEDGE_QUANTILE)
    median = window.quantile(0.5)
    if delay is None or median is None:
        return None
    delay = max(min(delay, MAX_MEDIAN_FACTOR * median), MIN_HEDGE_S)
    return delay if delay + median <= deadline_left else None
