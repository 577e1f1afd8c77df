"""Bookings through real instances run once and are never falsely "not run"."""

from __future__ import annotations

import asyncio


async def test_a_stopping_instance_does_not_call_a_resend_not_run(fleet):
    # Guards against "not run" for a ticket whose booking ran through another instance.
    await fleet.start()
    ticket = await fleet.ticket("i0")
    _status, first = await fleet.book("i0", ticket)
    assert first["outcome"] == "whole"
    fleet.instances["i1"].entry.stopping = True
    status, resent = await fleet.book("i1", ticket)
    assert (status, resent["outcome"], resent["code"]) == (503, "unknown", "stopping")
    assert len(fleet.executions("book")) == 1


async def test_resends_survive_the_owner_that_left(fleet):
    # Guards against a hand-off that real instances do not send, keep or ask for.
    await fleet.start(instances=4)
    # The hand-off goes to members that are known; right after the start an instance
    # may know one other only, and the answer is then truly unknown.
    await fleet.until(
        lambda: all(i.membership.member_count() == 4 for i in fleet.instances.values())
    )
    used, unused = await fleet.ticket("i0"), await fleet.ticket("i0")
    asked = [fleet.book(name, used) for name in ("i0", "i1", "i2", "i3")]
    rows = [answer["rows"] for _status, answer in await asyncio.gather(*asked)]
    assert rows[0]
    await fleet.instances.pop("i0").stop()
    for name in fleet.instances:
        status, answer = await fleet.book(name, used)
        assert (status, answer["outcome"], answer["rows"]) == (200, "whole", rows[0])
        _status, answer = await fleet.book(name, unused)
        assert (answer["outcome"], answer["reason"]) == ("not_run", "ticket_absent")
    assert rows == [rows[0]] * 4
    assert len(fleet.executions("book")) == 1
