"""Requests that crash targets are distinguished from targets that fail on their own."""

from __future__ import annotations

from filbertshelf.clock import ManualClock
from filbertshelf.state import crashes as module
from filbertshelf.state.crashes import RETENTION_S, CrashCounter


def test_a_rack_failure_quarantines_no_request():
    # Guards against refusing queries that were in flight on many failing targets.
    counter = CrashCounter(ManualClock())
    for _ in range(30):
        counter.record_crash("query", "r1", 1)
    counter.record_crash("query", "r2", 1)
    assert not counter.is_quarantined("query")


def test_three_crashes_in_a_row_quarantine_a_request():
    # Guards against a crashing request that is resent again and again to any instance.
    counter = CrashCounter(ManualClock())
    counter.record_crash("poison", "r1", 1)
    counter.record_crash("poison", "r1", 2)
    assert not counter.is_quarantined("poison")
    counter.record_crash("poison", "r2", 1)
    assert counter.is_quarantined("poison")
    assert not counter.is_quarantined("other")


def test_a_repeated_report_counts_once():
    # Guards against a message to all instances for each of the 44 shards of a query
    # whose targets died at the same time, which caused 16,879 log lines.
    counter = CrashCounter(ManualClock())
    assert [counter.record_crash("query", "r1", 2) for _ in range(5)] == [
        2,
        *[None] * 4,
    ]
    assert counter.record_crash("query", "r1", 1) is None
    assert not counter.is_quarantined("query")


def test_a_quarantine_expires():
    clock = ManualClock()
    counter = CrashCounter(clock)
    for name in ("r1", "r2", "r3"):
        counter.record_crash("poison", name, 1)
    clock.advance(RETENTION_S - 1)
    assert counter.is_quarantined("poison")
    clock.advance(2)
    assert not counter.is_quarantined("poison")


def test_an_answer_clears_the_crashes():
    counter = CrashCounter(ManualClock())
    counter.record_crash("query", "r1", 2)
    counter.clear("query")
    counter.record_crash("query", "r2", 1)
    assert not counter.is_quarantined("query")


def test_the_number_of_fingerprints_is_bounded(monkeypatch):
    monkeypatch.setattr(module, "MAX_FINGERPRINTS", 3)
    counter = CrashCounter(ManualClock())
    for number in range(10):
        counter.record_crash(f"query-{number}", "r", 1)
    assert len(counter._records) == 3


def test_requests_that_differ_in_any_part_have_different_fingerprints():
    counter = CrashCounter(ManualClock())
    fingerprints = {
        counter.fingerprint(b"h", b"/a", b"b"),
        counter.fingerprint(b"h", b"/ab", b""),
        counter.fingerprint(b"h/", b"a", b"b"),
    }
    assert len(fingerprints) == 3
