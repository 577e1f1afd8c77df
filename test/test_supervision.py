"""Services that go on after an unexpected error."""

from __future__ import annotations

import asyncio

import mode

from filbertshelf.supervision import contain_errors, contained


class Worker(mode.Service):
    """Fails in its first steps and then works."""

    def __init__(self):
        super().__init__()
        self.steps = 0

    @mode.Service.task
    async def _work(self) -> None:
        while not self.should_stop:
            await asyncio.sleep(0)
            await self._step()

    @contain_errors
    async def _step(self) -> None:
        self.steps += 1
        if self.steps < 3:
            raise ZeroDivisionError


async def test_a_loop_goes_on_after_an_error_which_is_logged(log):
    # Guards against one unexpected error that ends the whole process.
    worker = Worker()
    await worker.start()
    while worker.steps < 5:
        await asyncio.sleep(0)
    assert not worker.crashed
    await worker.stop()
    lines = [line for line in log if line["event"] == 108]
    assert [line["where"] for line in lines] == ["Worker._step"] * 2
    assert "ZeroDivisionError" in lines[0]["traceback"]


async def test_a_background_task_that_fails_ends_no_service(log):
    async def fail():
        raise ZeroDivisionError

    worker = Worker()
    await worker.start()
    worker.add_future(contained(fail(), "a notice"))
    await asyncio.sleep(0.01)
    assert not worker.crashed
    await worker.stop()
    assert any(line.get("where") == "a notice" for line in log)


async def test_a_cancelled_task_stays_cancelled():
    task = asyncio.create_task(contained(asyncio.sleep(9), "a wait"))
    await asyncio.sleep(0)
    task.cancel()
    results = await asyncio.gather(task, return_exceptions=True)
    assert isinstance(results[0], asyncio.CancelledError)
