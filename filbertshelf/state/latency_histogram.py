"""A histogram of latencies that holds only the buckets in use."""

from __future__ import annotations

from collections.abc import Iterator

SIGNIFICANT_BITS = 8
"""Leading bits that distinguish two values, which is more than two decimal digits.

1% is finer than the variation of any service.
"""


class LatencyHistogram:
    """Counts of positive integers, exact to two significant digits.

    The buckets and quantiles are those of an HDR histogram, which takes 22 KB for the
    array of all buckets. A gateway has two histograms for each route.
    """

    __slots__ = ("_counts", "total_count")

    def __init__(self) -> None:
        self._counts: dict[int, int] = {}
        """The counts by the highest value of each bucket."""
        self.total_count = 0

    def record(self, value: int) -> None:
        """Add one value."""
        shift = value.bit_length() - SIGNIFICANT_BITS
        if shift > 0:
            value |= (1 << shift) - 1
        self._counts[value] = self._counts.get(value, 0) + 1
        self.total_count += 1

    def clear(self) -> None:
        """Remove all values."""
        self._counts.clear()
        self.total_count = 0

    def percentile(self, percentile: float, other: LatencyHistogram) -> int:
        """Return a percentile (0 to 100) of the values of both histograms together.

        It is the highest value of its bucket, or 0 if there are no values.
        """
        total = self.total_count + other.total_count
        wanted = max(1, int(percentile * total / 100 + 0.5))
        for value, count in self._sorted_counts(other):
            wanted -= count
            if wanted <= 0:
                return value
        return 0

    def _sorted_counts(self, other: LatencyHistogram) -> Iterator[tuple[int, int]]:
        counts, other_counts = self._counts, other._counts
        for value in sorted(counts.keys() | other_counts.keys()):
            yield value, counts.get(value, 0) + other_counts.get(value, 0)
