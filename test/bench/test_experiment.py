"""A small experiment with real processes, from the fleet to the table."""

from filbertshelf.bench.experiment import (
    STRATEGIES,
    ExperimentConfig,
    run_experiment,
)
from filbertshelf.bench.scenarios import CALM
from filbertshelf.bench.table import METRICS, render
from filbertshelf.clock import SystemClock

# The smallest fleet has two instances; a run this short has no meaningful results.
CFG = ExperimentConfig(
    scale=0.01,
    scenarios=(CALM,),
    duration_s=1.0,
    warm_up_s=0.5,
)


async def test_a_scenario_runs_with_both_strategies_and_fills_the_table():
    # Guards against parts that work separately but not together as processes.
    reported = []
    measured = await run_experiment(CFG, SystemClock(), reported.append)
    assert reported == list(measured)
    assert [(m.scenario, m.strategy) for m in measured] == [
        ("calm", strategy) for strategy in STRATEGIES
    ]
    for measurement in measured:
        assert measurement.load.sent == sum(measurement.load.counts.values()) > 0
        assert measurement.load.sub_requests > 0
        assert measurement.executions > 0
        assert measurement.peak_connections > 0
    header, rule, *rows = render(measured).splitlines()
    assert header.split() == ["scenario", "measure", *STRATEGIES]
    assert set(rule) == {"-", " "}
    assert rows[0].startswith("calm")
    assert len(rows) == len(METRICS)
    for metric, row in zip(METRICS, rows, strict=True):
        for measurement in measured:
            assert metric.format_value(measurement) in row
