"""Scenarios play at their times and never publish what no target holds."""

import asyncio

import pytest

from filbertshelf.bench.scenarios import (
    OLD_VERSION,
    SCENARIOS,
    HoldVersions,
    Publish,
    Scenario,
    SetFaults,
    run_actions,
)
from filbertshelf.clock import ManualClock
from filbertshelf.standins.target_config import Faults

EACH = pytest.mark.parametrize("scenario", SCENARIOS.values(), ids=lambda s: s.name)


class Recorder:
    """Notes the calls and their times."""

    def __init__(self, clock):
        self.clock = clock
        self.calls = []

    def _note(self, *call):
        self.calls.append((self.clock.monotonic(), *call))

    async def set_faults(self, leaf, faults):
        """Note the call."""
        self._note("faults", leaf, faults)

    async def restart(self, leaf, down_s):
        """Note the call."""
        self._note("restart", leaf, down_s)

    async def hold_versions(self, leaf, versions):
        """Note the call."""
        self._note("hold", leaf, versions)

    async def publish(self, version):
        """Note the call."""
        self._note("publish", version)


async def played(scenario, duration_s):
    clock = ManualClock()
    fleet = Recorder(clock)
    task = asyncio.create_task(run_actions(scenario, duration_s, fleet, clock))
    # A power of two adds up without rounding.
    for _ in range(round(duration_s * 128) + 1):
        for _ in range(3):
            await asyncio.sleep(0)
        clock.advance(1 / 128)
    await task
    return fleet.calls


async def test_actions_happen_in_order_at_their_share_of_the_duration():
    late = SetFaults(at=0.75, faults=Faults())
    early = SetFaults(at=0.25, leaf=0, faults=Faults(down=True))
    scenario = Scenario(name="x", summary="x", actions=(late, early))
    assert await played(scenario, 4.0) == [
        (1.0, "faults", 0, Faults(down=True)),
        (3.0, "faults", None, Faults()),
    ]


@EACH
async def test_every_scenario_ends_within_its_duration(scenario):
    assert len(await played(scenario, 1.0)) == len(scenario.actions)


@EACH
def test_the_published_version_always_has_a_holder(scenario):
    # Guards against a scenario that asks for an outage of its own making.
    held = {0: {OLD_VERSION}, 1: {OLD_VERSION}}
    published = OLD_VERSION
    for action in scenario.actions:
        if isinstance(action, HoldVersions):
            for leaf in held if action.leaf is None else (action.leaf,):
                held[leaf] = set(action.versions)
        if isinstance(action, Publish):
            published = action.version
        assert any(published in versions for versions in held.values())
