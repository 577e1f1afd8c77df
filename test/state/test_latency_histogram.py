"""The sparse histogram has the quantiles of an HDR histogram."""

from __future__ import annotations

from hdrh.histogram import HdrHistogram
from hypothesis import given
from hypothesis import strategies as st

from filbertshelf.state.budgets import MAX_LATENCY_US
from filbertshelf.state.latency_histogram import LatencyHistogram

VALUES = st.lists(
    st.one_of(st.integers(1, 1_000), st.integers(1, MAX_LATENCY_US)), max_size=300
)


@given(VALUES, VALUES, st.floats(0.0, 100.0, exclude_min=True))
def test_quantiles_of_two_histograms_are_those_of_an_hdr_histogram(
    values, others, percentile
):
    # Guards against hedge delays that change with the representation of the buckets.
    expected = HdrHistogram(1, MAX_LATENCY_US, 2)
    first, second = LatencyHistogram(), LatencyHistogram()
    for histogram, recorded in ((first, values), (second, others)):
        for value in recorded:
            histogram.record(value)
            expected.record_value(value)
    assert first.percentile(percentile, second) == expected.get_value_at_percentile(
        percentile
    )


def test_a_histogram_is_empty_after_it_was_cleared():
    # Guards against latencies of an earlier slice in the window.
    histogram = LatencyHistogram()
    histogram.record(70_000)
    histogram.clear()
    assert histogram.total_count == 0
    assert histogram.percentile(90.0, LatencyHistogram()) == 0
