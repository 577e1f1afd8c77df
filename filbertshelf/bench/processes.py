"""Starts, signals and stops the processes of an experiment."""

from __future__ import annotations

import asyncio
import configparser
import json
import os
import signal
import subprocess
import sys
import threading
import time
from collections.abc import Mapping, Sequence
from pathlib import Path
from types import FrameType, TracebackType
from typing import Any, Self

import attrs

from filbertshelf.errors import ExperimentError

COMMAND = (sys.executable, "-m", "filbertshelf.commands.main")
START_TIMEOUT_S = 20.0
STOP_TIMEOUT_S = 5.0
"""Time to drain and stop after SIGTERM, after which a process is killed."""
POLL_S = 0.02
LOG_TAIL_BYTES = 2_000


@attrs.frozen(eq=False)
class StartedProcess:
    """A process that the experiment started."""

    name: str
    popen: subprocess.Popen
    ready_file: Path
    log_file: Path

    @property
    def pid(self) -> int:
        """Return the process id."""
        return self.popen.pid

    def log_tail(self) -> str:
        """Return the end of the output of the process."""
        return self.log_file.read_bytes()[-LOG_TAIL_BYTES:].decode(errors="replace")


class Processes:
    """The processes of one experiment; leaving the context stops all of them.

    SIGTERM to the experiment raises `SystemExit` inside the context, so that the
    processes are stopped in this case too.
    """

    def __init__(self, folder: Path, command: Sequence[str] = COMMAND):
        self.folder = folder
        self._command = tuple(command)
        self._started: dict[str, StartedProcess] = {}
        self._old_handler: Any = None

    def __enter__(self) -> Self:
        """Install the SIGTERM handler; this is possible only in the main thread."""
        if threading.current_thread() is threading.main_thread():
            self._old_handler = signal.signal(signal.SIGTERM, _raise_system_exit)
        return self

    def __exit__(
        self,
        exc_type: type[BaseException] | None,
        exc: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        """Stop all processes and restore the SIGTERM handler."""
        try:
            self.stop_all()
        finally:
            if self._old_handler is not None:
                signal.signal(signal.SIGTERM, self._old_handler)

    def ready_file(self, name: str) -> Path:
        """Return the path of the file in which the process reports its addresses."""
        return self.folder / f"{name}.ready.json"

    def start(self, name: str, *args: str) -> StartedProcess:
        """Start a process with these command-line arguments.

        The process must write its bound addresses to `ready_file(name)`. Raises
        `ValueError` if the name has been used before.
        """
        if name in self._started:
            raise ValueError(f"process {name!r} was already started")
        ready_file = self.ready_file(name)
        ready_file.unlink(missing_ok=True)
        log_file = self.folder / f"{name}.log"
        with log_file.open("wb") as log:
            popen = subprocess.Popen(
                [*self._command, *args],
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=subprocess.STDOUT,
                # Ctrl-C in the terminal then signals only the experiment, which
                # stops its processes in an orderly way.
                start_new_session=True,
            )
        self._started[name] = StartedProcess(name, popen, ready_file, log_file)
        return self._started[name]

    def start_instance(
        self, name: str, sections: Mapping[str, Mapping[str, Any]]
    ) -> StartedProcess:
        """Start an instance with these sections of its INI file.

        Its `ready_file` setting must be `ready_file(name)`.
        """
        path = self.folder / f"{name}.ini"
        parser = configparser.ConfigParser(interpolation=None)
        parser.read_dict(sections)
        with path.open("w", encoding="utf-8") as out:
            parser.write(out)
        return self.start(name, "run", str(path))

    async def addresses(self, name: str) -> Mapping[str, Any]:
        """Wait until the process has started, and return the addresses it reported.

        Raises `ExperimentError` if it exits or takes longer than `START_TIMEOUT_S`.
        """
        proc = self._started[name]
        deadline = time.monotonic() + START_TIMEOUT_S
        while not proc.ready_file.exists():
            remedy = f"read its output: {proc.log_tail().strip()}"
            code = proc.popen.poll()
            if code is not None:
                raise ExperimentError(f"{name} exited with code {code}", remedy)
            if time.monotonic() > deadline:
                raise ExperimentError(f"{name} did not start in time", remedy)
            await asyncio.sleep(POLL_S)
        return json.loads(proc.ready_file.read_text())

    def is_running(self, name: str) -> bool:
        """Return whether the process hasn't ended."""
        return self._started[name].popen.poll() is None

    def freeze(self, name: str) -> None:
        """Pause the process with SIGSTOP."""
        self._started[name].popen.send_signal(signal.SIGSTOP)

    def thaw(self, name: str) -> None:
        """Resume a frozen process with SIGCONT."""
        self._started[name].popen.send_signal(signal.SIGCONT)

    def kill(self, name: str) -> None:
        """Kill the process with SIGKILL and wait until it has ended."""
        self._started[name].popen.kill()
        self._started[name].popen.wait()

    def stop(self, name: str) -> int:
        """Stop the process, or kill it after `STOP_TIMEOUT_S`; return its exit code."""
        self._terminate(name)
        return self._wait_or_kill(name, time.monotonic() + STOP_TIMEOUT_S)

    def stop_all(self) -> None:
        """Stop all processes concurrently; kill those left after `STOP_TIMEOUT_S`."""
        for name in self._started:
            self._terminate(name)
        deadline = time.monotonic() + STOP_TIMEOUT_S
        for name in self._started:
            self._wait_or_kill(name, deadline)

    def cpu_seconds(self, name: str) -> float:
        """Return the CPU time, in seconds, that the process has used so far."""
        stat = Path(f"/proc/{self._started[name].pid}/stat").read_text()
        # The second field is the command in parentheses, which may contain spaces.
        # The user and system times, in clock ticks, are fields 12 and 13 after it.
        fields = stat.rpartition(")")[2].split()
        return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")

    def _terminate(self, name: str) -> None:
        popen = self._started[name].popen
        # A frozen process handles SIGTERM only after it resumes.
        popen.send_signal(signal.SIGCONT)
        popen.terminate()

    def _wait_or_kill(self, name: str, deadline: float) -> int:
        popen = self._started[name].popen
        try:
            return popen.wait(max(0.0, deadline - time.monotonic()))
        except subprocess.TimeoutExpired:
            popen.kill()
            return popen.wait()


def _raise_system_exit(signum: int, _frame: FrameType | None) -> None:
    sys.exit(128 + signum)
