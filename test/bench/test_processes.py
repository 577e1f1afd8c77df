"""Starting, signalling and stopping the processes of an experiment."""

import os
import signal
from pathlib import Path

import pytest

from filbertshelf.bench import processes
from filbertshelf.bench.processes import Processes
from filbertshelf.errors import ExperimentError

SCRIPT = """
import os, signal, sys, time
path, how = sys.argv[1:]
if how == "fail":
    sys.exit("no such port")
if how == "stubborn":
    signal.signal(signal.SIGTERM, signal.SIG_IGN)
with open(path + ".part", "w") as out:
    out.write('{"address": "127.0.0.1:1"}')
os.replace(path + ".part", path)
time.sleep(60)
"""


@pytest.fixture
def script(tmp_path):
    path = tmp_path / "script.py"
    path.write_text(SCRIPT)
    return (processes.sys.executable, str(path))


async def start_and_wait(procs, name, mode="plain"):
    procs.start(name, str(procs.ready_file(name)), mode)
    return await procs.addresses(name)


def process_state(pid, event):
    """Return the state letter of the process after the wait event occurred."""
    os.waitid(os.P_PID, pid, event)
    return Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()[0]


async def test_all_processes_are_stopped_after_an_error(tmp_path, script, monkeypatch):
    # Guards against processes, frozen or not, that outlive a failed experiment.
    monkeypatch.setattr(processes, "STOP_TIMEOUT_S", 0.3)
    started = []
    with pytest.raises(KeyError), Processes(tmp_path, script) as procs:
        for name in ("plain", "frozen", "stubborn"):
            assert await start_and_wait(procs, name, name) == {"address": "127.0.0.1:1"}
        procs.freeze("frozen")
        started = [procs._started[name] for name in procs._started]
        raise KeyError("the experiment failed")
    codes = {proc.name: proc.popen.poll() for proc in started}
    assert codes == {
        "plain": -signal.SIGTERM,
        "frozen": -signal.SIGTERM,
        "stubborn": -signal.SIGKILL,
    }


async def test_a_terminated_experiment_stops_its_processes(tmp_path, script):
    before = signal.getsignal(signal.SIGTERM)
    with pytest.raises(SystemExit), Processes(tmp_path, script) as procs:
        await start_and_wait(procs, "one")
        os.kill(os.getpid(), signal.SIGTERM)
    assert not procs.is_running("one")
    assert signal.getsignal(signal.SIGTERM) is before


async def test_a_process_that_fails_to_start_is_reported_with_its_output(
    tmp_path, script
):
    report = pytest.raises(ExperimentError, match="no such port")
    with Processes(tmp_path, script) as procs, report:
        await start_and_wait(procs, "one", "fail")


async def test_a_process_can_be_frozen_thawed_and_killed(tmp_path, script):
    with Processes(tmp_path, script) as procs:
        await start_and_wait(procs, "one")
        pid = procs._started["one"].pid
        procs.freeze("one")
        assert process_state(pid, os.WSTOPPED) == "T"
        procs.thaw("one")
        assert process_state(pid, os.WCONTINUED) in "SR"
        assert procs.cpu_seconds("one") >= 0
        procs.kill("one")
        assert not procs.is_running("one")
