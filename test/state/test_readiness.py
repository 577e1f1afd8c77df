"""The rules by which the configuration of an instance is confirmed."""

import pytest

from filbertshelf.clock import ManualClock
from filbertshelf.state.documents import NO_VERSION, Version
from filbertshelf.state.readiness import CLAIM_LIFETIME_S, Confirmation, Readiness

GRACE_S = 5.0
OLD, NEW = Version(1, b"a"), Version(1, b"b")


def held(version):
    return {"config": version, "instances": Version(0, b"")}


@pytest.fixture
def clock():
    return ManualClock()


@pytest.fixture
def readiness(clock):
    return Readiness("config", ("config", "instances"), GRACE_S, clock)


def test_readiness_waits_for_a_claimed_version(clock, readiness):
    """Guards against serving an older version than a peer is known to hold."""
    readiness.claim("config", NEW)
    readiness.claim("config", OLD)
    readiness.peer_answered(readiness.epoch, ready=True)
    assert not readiness.try_confirm(held(OLD))
    assert readiness.try_confirm(held(NEW))
    assert readiness.confirmation is Confirmation.PEER


def test_a_claim_expires_if_no_peer_repeats_it(clock, readiness):
    """Guards against waiting forever for a version whose only holder is gone."""
    readiness.claim("config", NEW)
    readiness.peer_answered(readiness.epoch, ready=True)
    clock.advance(CLAIM_LIFETIME_S - 1)
    readiness.claim("config", NEW)
    clock.advance(CLAIM_LIFETIME_S)
    assert not readiness.try_confirm(held(OLD))
    clock.advance(1)
    assert readiness.try_confirm(held(OLD))


def test_without_a_publication_nothing_is_confirmed(clock, readiness):
    readiness.peer_answered(0, ready=True)
    readiness.platform_answered(0, "config")
    readiness.platform_answered(0, "instances")
    clock.advance(GRACE_S)
    assert not readiness.try_confirm(held(NO_VERSION))


def test_the_platform_alone_counts_only_after_the_grace_period(clock, readiness):
    readiness.platform_answered(0, "config")
    clock.advance(GRACE_S)
    readiness.peer_answered(0, ready=False)
    assert not readiness.try_confirm(held(OLD))
    readiness.platform_answered(0, "instances")
    assert readiness.try_confirm(held(OLD))
    assert readiness.confirmation is Confirmation.PLATFORM_ONLY


def test_after_a_pause_the_platform_confirms_without_a_grace_period(clock, readiness):
    readiness.peer_answered(0, ready=True)
    assert readiness.try_confirm(held(OLD))
    readiness.require_confirmation()
    assert not readiness.try_confirm(held(OLD))
    readiness.platform_answered(0, "config")
    assert not readiness.try_confirm(held(OLD))
    readiness.platform_answered(readiness.epoch, "config")
    assert readiness.try_confirm(held(OLD))


def test_a_fleet_that_paused_together_resumes_without_the_platform(clock, readiness):
    """Guards against instances that wait for each other forever."""
    readiness.peer_answered(0, ready=True)
    readiness.try_confirm(held(OLD))
    readiness.require_confirmation()
    readiness.peer_answered(readiness.epoch, ready=False)
    assert not readiness.try_confirm(held(OLD))
    clock.advance(GRACE_S)
    assert readiness.try_confirm(held(OLD))
    assert readiness.confirmation is Confirmation.UNREADY_PEERS
