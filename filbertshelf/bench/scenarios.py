"""Scenarios: a load, and timed actions on the fleet during it."""

from __future__ import annotations

import functools
from collections.abc import Collection, Mapping
from typing import Protocol

import attrs

from filbertshelf.clock import Clock
from filbertshelf.standins.profiles import FIRST_GENERATION, FIRST_VERSION
from filbertshelf.standins.target_config import Faults


@attrs.frozen
class Version:
    """An index version with its generation, the same for all services."""

    index_version: str
    generation: int


OLD_VERSION = Version(FIRST_VERSION, FIRST_GENERATION)
NEW_VERSION = Version("v2", FIRST_GENERATION + 1)


@attrs.frozen(kw_only=True)
class Action:
    """An action on the fleet during a load.

    `at` is its time as a fraction of the load's duration. `leaf` selects the leaf with
    this number in every service; None selects all leaves.
    """

    at: float
    leaf: int | None = None


@attrs.frozen(kw_only=True)
class SetFaults(Action):
    """Replaces the faults of the selected targets."""

    faults: Faults


@attrs.frozen(kw_only=True)
class Restart(Action):
    """Crashes the selected targets, which start cold after `down_s` seconds."""

    down_s: float


@attrs.frozen(kw_only=True)
class HoldVersions(Action):
    """Replaces the versions that the selected targets hold."""

    versions: tuple[Version, ...]


@attrs.frozen(kw_only=True)
class Publish(Action):
    """Publishes the configuration with all services at this version."""

    version: Version


class FleetControl(Protocol):
    """The operations on a running fleet that actions use."""

    async def set_faults(self, leaf: int | None, faults: Faults) -> None:
        """Replace the faults of the selected targets."""

    async def restart(self, leaf: int | None, down_s: float) -> None:
        """Crash the selected targets; they start cold after `down_s` seconds."""

    async def hold_versions(
        self, leaf: int | None, versions: Collection[Version]
    ) -> None:
        """Replace the versions that the selected targets hold."""

    async def publish(self, version: Version) -> None:
        """Publish the configuration with all services at this version."""


@attrs.frozen(kw_only=True)
class Scenario:
    """A load and the actions during it."""

    name: str
    summary: str
    load_factor: float = 1.0
    """Load as a multiple of the load of an ordinary day."""
    cold_s: float = 0.0
    """Time for which a target is cold after a restart."""
    actions: tuple[Action, ...] = ()


@functools.singledispatch
async def apply_action(action: Action, fleet: FleetControl) -> None:
    """Apply an action to the fleet."""
    raise TypeError(f"unsupported action {type(action).__name__}")


@apply_action.register
async def _(action: SetFaults, fleet: FleetControl) -> None:
    await fleet.set_faults(action.leaf, action.faults)


@apply_action.register
async def _(action: Restart, fleet: FleetControl) -> None:
    await fleet.restart(action.leaf, action.down_s)


@apply_action.register
async def _(action: HoldVersions, fleet: FleetControl) -> None:
    await fleet.hold_versions(action.leaf, action.versions)


@apply_action.register
async def _(action: Publish, fleet: FleetControl) -> None:
    await fleet.publish(action.version)


async def run_actions(
    scenario: Scenario, duration_s: float, fleet: FleetControl, clock: Clock
) -> None:
    """Apply the scenario's actions at their times within `duration_s` seconds."""
    start = clock.monotonic()
    for action in sorted(scenario.actions, key=lambda action: action.at):
        wait = start + action.at * duration_s - clock.monotonic()
        if wait > 0:
            await clock.sleep(wait)
        await apply_action(action, fleet)


CALM = Scenario(name="calm", summary="an ordinary day without faults")
STRAGGLER = Scenario(
    name="straggler",
    summary="one replica of each shard takes 15 times as long",
    actions=(SetFaults(at=0.0, leaf=0, faults=Faults(straggle=15.0)),),
)
VANISHING = Scenario(
    name="vanishing",
    summary="one replica of each shard disappears without warning",
    actions=(SetFaults(at=0.3, leaf=0, faults=Faults(down=True)),),
)
COLD_RESTART = Scenario(
    name="cold-restart",
    summary="one replica of each shard crashes and comes back cold",
    cold_s=4.0,
    actions=(Restart(at=0.3, leaf=0, down_s=0.5),),
)
ROLLING_VERSION = Scenario(
    name="rolling-version",
    summary="the index version changes while queries run",
    actions=(
        HoldVersions(at=0.1, leaf=0, versions=(OLD_VERSION, NEW_VERSION)),
        HoldVersions(at=0.2, versions=(OLD_VERSION, NEW_VERSION)),
        Publish(at=0.4, version=NEW_VERSION),
        # The replicas drop the old version one after the other, so soon that queries
        # pinned to it are still running.
        HoldVersions(at=0.45, leaf=0, versions=(NEW_VERSION,)),
        HoldVersions(at=0.5, versions=(NEW_VERSION,)),
    ),
)
MONTH_END = Scenario(
    name="month-end",
    summary="ten times the load of an ordinary day",
    load_factor=10.0,
)
LYING_LOAD = Scenario(
    name="lying-load",
    summary="slow replicas report no load, the others a high one",
    actions=(
        SetFaults(at=0.0, faults=Faults(reported_load=100)),
        SetFaults(at=0.0, leaf=0, faults=Faults(reported_load=0, straggle=5.0)),
    ),
)

SCENARIOS: Mapping[str, Scenario] = {
    scenario.name: scenario
    for scenario in (
        CALM,
        STRAGGLER,
        VANISHING,
        COLD_RESTART,
        ROLLING_VERSION,
        MONTH_END,
        LYING_LOAD,
    )
}
