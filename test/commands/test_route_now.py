"""The command that asks a gateway where a request would go now."""

from __future__ import annotations

import asyncio
import contextlib
import urllib.request

import pytest

from filbertshelf.clock import SystemClock
from filbertshelf.commands.main import main
from filbertshelf.gateway_metrics import GatewayMetrics, MetricsHandler
from filbertshelf.transport.http1.server import HttpServer
from test.coordination.test_gateway import LOOPBACK, Deployment


async def run_command(address, path: str) -> int:
    """Run the command and return its exit code."""
    text = "{}:{}".format(*address)
    argv = ["filbertshelf", "route-now", text, "--host", "h", "--path", path]
    return await asyncio.to_thread(main, [*argv, "--deadline_ms", "500"])


def fetch(address, path: str) -> str:
    """Return the body at a path."""
    url = "http://{}:{}".format(*address) + path
    with urllib.request.urlopen(url, timeout=5) as response:
        return response.read().decode()


async def test_the_command_shows_what_a_gateway_tells(capsys):
    # Guards against an answer that the command can't show, against requests to targets
    # that only explain, and against a metrics page that changes.
    async with contextlib.AsyncExitStack() as stack:
        deployment = Deployment(stack)
        await deployment.start()
        address = deployment.gateways[0].metrics_server.address
        assert await run_command(address, "/all/x") == 0
        shown = capsys.readouterr().out
        assert "would run at this instance\nroute all, version 1" in shown
        assert "2 shards, 1 needed, 0 without a target" in shown
        assert "  1 i-1 in here: expected" in shown
        assert await run_command(address, "/none") == 0
        assert "refused with 404" in capsys.readouterr().out
        assert [target.requests for target in deployment.targets] == [[], []]
        for path in ("/metrics", "/route", "/route?host=h"):
            assert "filbertshelf_members" in await asyncio.to_thread(
                fetch, address, path
            )


@pytest.mark.parametrize(("serves", "code"), [(False, 71), (True, 72)])
async def test_a_gateway_that_cannot_tell_is_an_error_with_a_remedy(
    capsys, serves, code
):
    # Guards against a traceback where no gateway is reached or its build is too old.
    server = HttpServer(LOOPBACK, MetricsHandler(GatewayMetrics()), SystemClock())
    await server.start()
    address = server.address
    if not serves:
        await server.stop()
    try:
        assert await run_command(address, "/all/x") == code
    finally:
        if serves:
            await server.stop()
    assert "route-now: " in capsys.readouterr().err
