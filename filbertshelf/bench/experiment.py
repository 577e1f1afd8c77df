"""Runs scenarios with several strategies and collects the measurements."""

from __future__ import annotations

import asyncio
import tempfile
from collections.abc import Callable, Mapping, Sequence
from pathlib import Path
from typing import Any

import attrs

from filbertshelf.bench.fleet import Fleet, FleetConfig
from filbertshelf.bench.load import LoadConfig, LoadResult, run_load
from filbertshelf.bench.processes import COMMAND, Processes
from filbertshelf.bench.scenarios import SCENARIOS, Scenario, run_actions
from filbertshelf.clock import Clock
from filbertshelf.standins.deployments import HATSTAND
from filbertshelf.standins.profiles import Profile, ordinary_rate_per_s, scale_profile

STRATEGIES = ("baseline", "adaptive")


@attrs.frozen(kw_only=True)
class ExperimentConfig:
    """The scenarios and strategies of an experiment, and its fleet.

    `scale` is the fraction of the profile's size, above 0 and at most 1. Each
    measured load lasts `duration_s` seconds, after `warm_up_s` seconds of ordinary
    load.
    """

    profile: Profile = HATSTAND
    scale: float = 0.2
    scenarios: tuple[Scenario, ...] = tuple(SCENARIOS.values())
    strategies: tuple[str, ...] = STRATEGIES
    duration_s: float = 10.0
    warm_up_s: float = 6.0
    seed: int = 1
    command: Sequence[str] = COMMAND


@attrs.frozen(kw_only=True)
class Measurement:
    """Result of one scenario with one strategy; CPU time is that of all instances."""

    scenario: str
    strategy: str
    load: LoadResult
    instance_cpu_s: float
    executions: int
    """Executions that the targets started."""
    connections_refused: int
    """Connections refused because they were over a target's limit."""
    peak_connections: int
    """The highest number of concurrent connections at one target."""

    @property
    def cpu_us_per_sub_request(self) -> float:
        """Return the CPU time of the instances per sub-request, in µs."""
        sent = self.load.sub_requests
        return self.instance_cpu_s * 1e6 / sent if sent else 0.0


async def run_experiment(
    cfg: ExperimentConfig,
    clock: Clock,
    on_measured: Callable[[Measurement], None] = lambda measurement: None,
) -> tuple[Measurement, ...]:
    """Return a measurement for each scenario and strategy, each on a new fleet.

    `on_measured` is called with each measurement once it is available. Raises
    `ExperimentError` if a fleet doesn't start, and an `ExceptionGroup` that contains
    one if a stand-in rejects an action during the load.
    """
    measurements = []
    for scenario in cfg.scenarios:
        for strategy in cfg.strategies:
            measurement = await _run_scenario(cfg, scenario, strategy, clock)
            on_measured(measurement)
            measurements.append(measurement)
    return tuple(measurements)


async def _run_scenario(
    cfg: ExperimentConfig, scenario: Scenario, strategy: str, clock: Clock
) -> Measurement:
    fleet_cfg = FleetConfig(
        profile=scale_profile(cfg.profile, cfg.scale),
        strategy=strategy,
        cold_s=scenario.cold_s,
        seed=cfg.seed,
    )
    with (
        tempfile.TemporaryDirectory(prefix="filbertshelf-bench-") as folder,
        Processes(Path(folder), cfg.command) as processes,
    ):
        async with Fleet(fleet_cfg, processes) as fleet:
            return await _measure(cfg, scenario, fleet, clock)


async def _measure(
    cfg: ExperimentConfig, scenario: Scenario, fleet: Fleet, clock: Clock
) -> Measurement:
    ordinary_rate = ordinary_rate_per_s(fleet.cfg.profile)
    load = LoadConfig(
        instance_addresses=tuple(fleet.instance_addresses.values()),
        mix=fleet.cfg.profile.requests,
        rate_per_s=ordinary_rate,
        duration_s=cfg.warm_up_s,
        seed=cfg.seed,
    )
    await run_load(load, clock)
    await fleet.clear_histories()
    cpu_before = fleet.cpu_seconds()
    load = attrs.evolve(
        load,
        rate_per_s=ordinary_rate * scenario.load_factor,
        duration_s=cfg.duration_s,
        seed=cfg.seed + 1,
    )
    async with asyncio.TaskGroup() as group:
        group.create_task(run_actions(scenario, cfg.duration_s, fleet, clock))
        load_task = group.create_task(run_load(load, clock))
    cpu_s = fleet.cpu_seconds() - cpu_before
    counters = [history["counters"] for history in await fleet.histories()]
    return Measurement(
        scenario=scenario.name,
        strategy=fleet.cfg.strategy,
        load=load_task.result(),
        instance_cpu_s=cpu_s,
        executions=_sum_counters(counters, "executions"),
        connections_refused=_sum_counters(counters, "connections_refused"),
        peak_connections=max(item["peak_connections"] for item in counters),
    )


def _sum_counters(counters: Sequence[Mapping[str, Any]], name: str) -> int:
    return sum(item[name] for item in counters)
