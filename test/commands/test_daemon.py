"""Signals that reach a daemon while it stops."""

from __future__ import annotations

import signal
import subprocess
import sys

import pytest

from filbertshelf.errors import FilbertshelfError

DAEMON = """\
import sys
import mode
from filbertshelf.commands.daemon import run_daemon

class Idle(mode.Service):
    async def on_started(self):
        print("started", flush=True)

code = run_daemon(Idle, "", lambda service: {}, lambda service: None)
print("stopped", flush=True)
sys.stdin.readline()
sys.exit(code)
"""

SIGNALS = [signal.SIGHUP, signal.SIGTERM, signal.SIGINT]


@pytest.fixture
def stopped_daemon():
    """Return the process of a daemon that exits when its input has a line."""
    command = [sys.executable, "-c", DAEMON]
    pipe = subprocess.PIPE
    with subprocess.Popen(command, stdin=pipe, stdout=pipe, text=True) as proc:
        assert proc.stdout.readline() == "started\n"
        proc.send_signal(signal.SIGTERM)
        assert proc.stdout.readline() == "stopped\n"
        yield proc


@pytest.mark.parametrize("signum", SIGNALS)
def test_signals_after_the_stop_do_not_change_the_exit_code(stopped_daemon, signum):
    # Guards against the default action of a signal, which ended a gateway that had
    # stopped in good order and was about to exit: soak seed 246, in CI.
    stopped_daemon.send_signal(signum)
    stopped_daemon.stdin.write("\n")
    stopped_daemon.stdin.flush()
    while stopped_daemon.poll() is None:
        stopped_daemon.send_signal(signum)
    assert stopped_daemon.returncode == 0


CRASHING_DAEMON = """\
import sys
import mode
from filbertshelf.commands.daemon import run_daemon

class Crashing(mode.Service):
    @mode.Service.task
    async def _fail(self):
        raise ZeroDivisionError

sys.exit(run_daemon(Crashing, "", lambda service: {}))
"""


def test_a_daemon_that_ends_by_an_error_has_its_own_exit_code():
    # Guards against an end by a fault that looks like an ordered stop.
    command = [sys.executable, "-c", CRASHING_DAEMON]
    done = subprocess.run(command, capture_output=True, timeout=30, check=False)
    assert done.returncode == FilbertshelfError.exit_code
