"""The whole path through real instances and stand-ins."""

from __future__ import annotations


async def test_a_query_gets_a_whole_answer_of_one_snapshot(fleet):
    await fleet.start()
    status, answer = await fleet.query("i0")
    assert status == 200, answer
    assert answer["outcome"] == "whole"
    assert answer["coverage"] == {"planned": 4, "answered": 4, "missing": []}
    assert answer["snapshot"] == {"racks": {"index_version": "v1", "generation": 1}}
    assert {row["version"] for row in answer["rows"]} == {"v1"}


async def test_a_booking_runs_once_at_its_owner_and_is_remembered(fleet):
    # Guards against a resend to another instance that runs the booking again.
    await fleet.start()
    ticket = await fleet.ticket("i0")
    first = await fleet.book("i0", ticket)
    again = await fleet.book("i0", ticket)
    elsewhere = await fleet.book("i1", ticket)
    assert [status for status, _answer in (first, again, elsewhere)] == [200] * 3
    assert first[1]["rows"] == again[1]["rows"] == elsewhere[1]["rows"]
    assert len(fleet.executions("book")) == 1
