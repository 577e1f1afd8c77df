"""Layout of the table that compares strategies."""

from filbertshelf.bench.experiment import Measurement
from filbertshelf.bench.load import LoadResult, RequestOutcome
from filbertshelf.bench.table import METRICS, render


def make_measurement(scenario, strategy, p99_ms):
    load = LoadResult(
        sent=1_000,
        counts=dict.fromkeys(RequestOutcome, 7),
        refusals={},
        p50_ms=3.0,
        p99_ms=p99_ms,
        p999_ms=50.0,
        whole_share=0.9991,
        mean_coverage=1.0,
        planned=100,
        sub_requests=105,
        on_time=990,
        goodput_per_s=99.0,
        urgent_share=0.9,
        max_send_delay_ms=0.5,
    )
    return Measurement(
        scenario=scenario,
        strategy=strategy,
        load=load,
        instance_cpu_s=0.021,
        executions=105,
        connections_refused=0,
        peak_connections=4,
    )


def test_each_scenario_has_an_aligned_column_per_strategy():
    text = render(
        [
            make_measurement("calm", "baseline", 1234.5),
            make_measurement("calm", "adaptive", 20.0),
            make_measurement("month-end", "baseline", 99.0),
        ]
    )
    lines = text.splitlines()
    assert lines[0].split() == ["scenario", "measure", "baseline", "adaptive"]
    assert len(lines) == 2 + 2 * len(METRICS)
    p99 = [line.split()[-2:] for line in lines if " p99 ms" in line]
    # A missing measurement is shown as a dash, not as the value of another one.
    assert p99 == [["1234.5", "20.0"], ["99.0", "-"]]
    ends = {len(line) for line in lines}
    assert len(ends) == 1, "the last column is not aligned"
    assert any(line.split()[-4:] == ["5.00", "%", "5.00", "%"] for line in lines)
    assert any(line.endswith("200       200") for line in lines)
