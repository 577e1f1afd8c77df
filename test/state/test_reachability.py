"""The evidence that an instance's link, and not a target, has failed."""

from __future__ import annotations

from filbertshelf.state.delegation import MIN_SUBSTITUTES, substitutes
from filbertshelf.state.members import Member, Status
from filbertshelf.state.reachability import FAILURE_WINDOW_S, Reachability


def test_one_failing_target_does_not_cast_doubt_on_the_link():
    # Guards against checks, each a new connection, for every crash of a target.
    reachability = Reachability()
    assert not reachability.record_failure("t1", 1.0)
    assert not reachability.record_failure("t1", 1.1)
    assert reachability.record_failure("t2", 1.2)


def test_failures_that_lie_apart_do_not_add_up():
    reachability = Reachability()
    reachability.record_failure("t1", 1.0)
    assert not reachability.record_failure("t2", 1.1 + FAILURE_WINDOW_S)


def test_any_response_ends_the_silence():
    reachability = Reachability()
    assert reachability.silent_since(1.0)
    reachability.record_response(2.0)
    assert not reachability.silent_since(1.0)
    assert reachability.silent_since(2.5)
    assert reachability.silence_s(3.0) == 1.0


def _members(here: int, elsewhere: int) -> list[Member]:
    centres = ["here"] * here + ["there"] * elsewhere
    return [Member(f"m{n}", dc, ("10.0.0.1", n), 1) for n, dc in enumerate(centres)]


def test_a_substitute_is_near_until_one_there_refuses():
    # Guards against one refusal after the other where a whole data centre is cut off.
    members = _members(9, 3)
    near = substitutes(members, [], [], "here")
    assert {member.data_centre for member in near} == {"here"}
    far = substitutes(members, [], ["m0"], "here")
    assert {member.data_centre for member in far} == {"there"}


def test_requests_are_distributed_among_several_proven_substitutes():
    # Guards against one instance that gets all requests of those that are cut off.
    members = _members(4, 4)
    proven = [member.id for member in members[:MIN_SUBSTITUTES]]
    picked = {member.id for member in substitutes(members, proven, [], "here")}
    assert picked == set(proven)
    few = proven[:-1]
    others = {member.id for member in substitutes(members, few, [], "here")}
    assert others
    assert not others & set(few)


def test_a_member_that_is_not_alive_or_refused_is_no_substitute():
    leaving = Member("m1", "here", ("10.0.0.1", 1), 1, Status.LEAVING)
    refused = Member("m2", "here", ("10.0.0.1", 2), 1)
    assert substitutes([leaving, refused], ["m2"], ["m2"], "here") == []
