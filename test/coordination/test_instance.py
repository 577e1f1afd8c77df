"""End-to-end queries and bookings through real instances and stand-in targets."""

from __future__ import annotations


async def test_a_query_gets_a_whole_answer_from_one_snapshot(fleet):
    await fleet.start()
    status, answer = await fleet.query("i0")
    assert status == 200, answer
    assert answer["outcome"] == "whole"
    assert answer["coverage"] == {"planned": 4, "answered": 4, "missing": []}
    assert answer["snapshot"] == {"racks": {"index_version": "v1", "generation": 1}}
    assert {row["version"] for row in answer["rows"]} == {"v1"}


async def test_a_booking_runs_once_and_resends_get_the_same_answer(fleet):
    # Guards against a second run when a booking is sent again to another instance.
    await fleet.start()
    ticket = await fleet.ticket("i0")
    first = await fleet.book("i0", ticket)
    same_instance = await fleet.book("i0", ticket)
    other_instance = await fleet.book("i1", ticket)
    assert [status for status, _answer in (first, same_instance, other_instance)] == [
        200
    ] * 3
    assert first[1]["rows"] == same_instance[1]["rows"] == other_instance[1]["rows"]
    assert len(fleet.executions("book")) == 1
