"""Times of scenario actions, and availability of the published versions."""

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

each_scenario = pytest.mark.parametrize(
    "scenario", SCENARIOS.values(), ids=lambda s: s.name
)


class RecordingFleet:
    """Fleet control that records its calls and their times."""

    def __init__(self, clock):
        self.clock = clock
        self.calls = []

    def _record(self, *call):
        self.calls.append((self.clock.monotonic(), *call))

    async def set_faults(self, leaf, faults):
        """Record the call."""
        self._record("faults", leaf, faults)

    async def restart(self, leaf, down_s):
        """Record the call."""
        self._record("restart", leaf, down_s)

    async def hold_versions(self, leaf, versions):
        """Record the call."""
        self._record("hold", leaf, versions)

    async def publish(self, version):
        """Record the call."""
        self._record("publish", version)


async def run_and_record(scenario, duration_s):
    clock = ManualClock()
    fleet = RecordingFleet(clock)
    task = asyncio.create_task(run_actions(scenario, duration_s, fleet, clock))
    # Steps of a negative power of two add up without rounding errors.
    for _ in range(round(duration_s * 128) + 1):
        for _ in range(3):
            await asyncio.sleep(0)
        clock.advance(1 / 128)
    await task
    return fleet.calls


async def test_actions_run_in_order_at_their_fraction_of_the_duration():
    late = SetFaults(at=0.75, faults=Faults())
    early = SetFaults(at=0.25, leaf=0, faults=Faults(down=True))
    scenario = Scenario(name="x", summary="x", actions=(late, early))
    assert await run_and_record(scenario, 4.0) == [
        (1.0, "faults", 0, Faults(down=True)),
        (3.0, "faults", None, Faults()),
    ]


@each_scenario
async def test_all_actions_of_a_scenario_run_within_its_duration(scenario):
    assert len(await run_and_record(scenario, 1.0)) == len(scenario.actions)


@each_scenario
def test_a_leaf_always_holds_the_published_version(scenario):
    # Guards against a scenario that itself causes an outage.
    held = {0: {OLD_VERSION}, 1: {OLD_VERSION}}
    published = OLD_VERSION
    for action in scenario.actions:
        if isinstance(action, HoldVersions):
            for leaf in held if action.leaf is None else (action.leaf,):
                held[leaf] = set(action.versions)
        if isinstance(action, Publish):
            published = action.version
        assert any(published in versions for versions in held.values())
