"""Requests that crash each target, told from targets that die by themselves."""

from __future__ import annotations

from filbertshelf.clock import ManualClock
from filbertshelf.state import crashes as module
from filbertshelf.state.crashes import MEMORY_S, CrashCounter


def test_a_rack_that_dies_convicts_nobody():
    # Guards against refusing the queries that were in flight on many targets at once.
    found = CrashCounter(ManualClock())
    for _ in range(30):
        found.record_crash("query", "r1", 1)
    found.record_crash("query", "r2", 1)
    assert not found.is_quarantined("query")


def test_three_targets_in_a_row_convict():
    # Guards against a request that comes again and again, at any instance.
    found = CrashCounter(ManualClock())
    found.record_crash("poison", "r1", 1)
    found.record_crash("poison", "r1", 2)
    assert not found.is_quarantined("poison")
    found.record_crash("poison", "r2", 1)
    assert found.is_quarantined("poison")
    assert not found.is_quarantined("other")


def test_a_report_that_comes_twice_counts_once():
    # Guards against a message to all instances for each of 44 shards of a query whose
    # targets died together: 16,879 log lines on trouble-1 of the grown turnos-nieve.
    found = CrashCounter(ManualClock())
    assert [found.record_crash("query", "r1", 2) for _ in range(5)] == [2, *[None] * 4]
    assert found.record_crash("query", "r1", 1) is None
    assert not found.is_quarantined("query")


def test_a_conviction_ends():
    clock = ManualClock()
    found = CrashCounter(clock)
    for name in ("r1", "r2", "r3"):
        found.record_crash("poison", name, 1)
    clock.advance(MEMORY_S - 1)
    assert found.is_quarantined("poison")
    clock.advance(2)
    assert not found.is_quarantined("poison")


def test_an_answer_clears():
    found = CrashCounter(ManualClock())
    found.record_crash("query", "r1", 2)
    found.clear("query")
    found.record_crash("query", "r2", 1)
    assert not found.is_quarantined("query")


def test_the_memory_is_bounded(monkeypatch):
    monkeypatch.setattr(module, "MAX_FINGERPRINTS", 3)
    found = CrashCounter(ManualClock())
    for number in range(10):
        found.record_crash(f"query-{number}", "r", 1)
    assert len(found._records) == 3


def test_the_parts_of_a_request_are_told_apart():
    found = CrashCounter(ManualClock())
    prints = {
        found.fingerprint(b"h", b"/a", b"b"),
        found.fingerprint(b"h", b"/ab", b""),
        found.fingerprint(b"h/", b"a", b"b"),
    }
    assert len(prints) == 3
