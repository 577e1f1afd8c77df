"""Tests of the log pipe with a slow reader and with a closed one."""

from __future__ import annotations

import fcntl
import json
import os

import pytest

from filbertshelf import events
from filbertshelf.transport import log_pipe as module
from filbertshelf.transport.log_pipe import LogPipe

F_SETPIPE_SZ = 1031


@pytest.fixture
def pipe(log):
    """Return the read end and the write end of a small pipe.

    `log` receives what earlier tests logged, which eliot passes to its first
    destination.
    """
    reading, writing = os.pipe()
    fcntl.fcntl(writing, F_SETPIPE_SZ, 4_096)
    yield reading, writing
    for end in (reading, writing):
        try:
            os.close(end)
        except OSError:
            continue


def lines_of(data: bytes) -> list[dict]:
    """Return the messages in the bytes."""
    return [json.loads(line) for line in data.splitlines()]


async def test_a_full_pipe_does_not_block_and_drops_are_counted(pipe, monkeypatch):
    # Guards against a process that blocks because its log is not read.
    monkeypatch.setattr(module, "MAX_BUFFERED_BYTES", 20_000)
    reading, writing = pipe
    dropped = []
    log = LogPipe(writing, dropped.append)
    await log.start()
    for number in range(2_000):
        events.emit(events.TARGET_ADDED, target=f"t{number}", address="x" * 50)
    log.flush()
    assert 0 < log.dropped < 2_000
    received = b""
    os.set_blocking(reading, False)
    while not dropped:
        received += os.read(reading, 65_536)
        log.flush()
    kept = lines_of(received + os.read(reading, 65_536))
    assert len(kept) + dropped[0] == 2_000
    assert [line["target"] for line in kept] == [f"t{n}" for n in range(len(kept))]
    await log.stop()


async def test_a_closed_reader_raises_no_error(pipe):
    reading, writing = pipe
    log = LogPipe(writing, lambda count: None)
    await log.start()
    os.close(reading)
    events.emit(events.TARGET_ADDED, target="t", address="a")
    log.flush()
    assert log.dropped >= 0
    await log.stop()


async def test_stop_writes_the_buffered_lines(pipe):
    reading, writing = pipe
    log = LogPipe(writing, lambda count: None)
    await log.start()
    events.emit(events.TARGET_ADDED, target="last", address="a")
    await log.stop()
    assert lines_of(os.read(reading, 65_536))[-1]["target"] == "last"


@pytest.mark.parametrize(
    "value", [10**400, 10**5000, "half \ud800"], ids=["long", "longer", "surrogate"]
)
async def test_a_value_that_json_cannot_hold_loses_no_line(pipe, value):
    # Guards against a hostile value that keeps its own decision out of the log.
    reading, writing = pipe
    log = LogPipe(writing, lambda count: None)
    await log.start()
    events.emit(events.TARGET_ADDED, target=value, address="1.2.3.4:5")
    log.flush()
    (line,) = lines_of(os.read(reading, 4_096))
    assert (line["event"], line["address"]) == (300, "1.2.3.4:5")
    await log.stop()
