"""Tests that bookings run at most once and are never falsely "not run"."""

from __future__ import annotations

import asyncio


async def test_a_stopping_instance_answers_unknown_to_a_resend(fleet):
    # Guards against a "not run" answer for a ticket whose booking has already run
    # through another instance.
    await fleet.start()
    ticket = await fleet.ticket("i0")
    _status, first = await fleet.book("i0", ticket)
    assert first["outcome"] == "whole"
    fleet.instances["i1"].caller_server.stopping = True
    status, resent = await fleet.book("i1", ticket)
    assert (status, resent["outcome"], resent["code"]) == (503, "unknown", "stopping")
    assert len(fleet.executions("book")) == 1


async def test_resends_get_the_recorded_outcome_after_the_owner_left(fleet):
    # Guards against a ticket table that a stopping owner does not hand off, or that
    # its peers do not keep or consult.
    await fleet.start(instances=4)
    # The ticket table is handed off to the known members. Right after the start an
    # instance may know only one other, and "unknown" is then the correct outcome.
    await fleet.until(
        lambda: all(i.membership.member_count() == 4 for i in fleet.instances.values())
    )
    used, unused = await fleet.ticket("i0"), await fleet.ticket("i0")
    bookings = [fleet.book(name, used) for name in ("i0", "i1", "i2", "i3")]
    rows = [answer["rows"] for _status, answer in await asyncio.gather(*bookings)]
    assert rows[0]
    await fleet.instances.pop("i0").stop()
    for name in fleet.instances:
        status, answer = await fleet.book(name, used)
        assert (status, answer["outcome"], answer["rows"]) == (200, "whole", rows[0])
        _status, answer = await fleet.book(name, unused)
        assert (answer["outcome"], answer["reason"]) == ("not_run", "ticket_absent")
    assert rows == [rows[0]] * 4
    assert len(fleet.executions("book")) == 1
