"""A gateway imports only what it needs."""

from __future__ import annotations

import importlib.util
import subprocess
import sys

import pytest

FORBIDDEN = (
    # Clients and servers of the product's own interface.
    "absl",
    "aiohttp",
    "statsd",
    "filbertshelf.catalogue",
    "filbertshelf.metrics",
    "filbertshelf.coordination.bookings",
    "filbertshelf.coordination.configuration",
    "filbertshelf.coordination.instance",
    "filbertshelf.coordination.queries",
    "filbertshelf.coordination.scatter",
    "filbertshelf.coordination.targets",
    "filbertshelf.protocol.bookings",
    "filbertshelf.protocol.configuration",
    "filbertshelf.protocol.target",
    "filbertshelf.state.labels",
    "filbertshelf.state.publication",
    "filbertshelf.state.ticket_table",
    "filbertshelf.state.tickets",
    "filbertshelf.transport.caller_server",
    "filbertshelf.transport.target_link",
    # The command line, measurements and stand-ins.
    "filbertshelf.bench",
    "filbertshelf.commands.main",
    "filbertshelf.coordination.route_preview",
    "filbertshelf.explain",
    "filbertshelf.standins",
    # HDR histograms, which take 22 KB each for all buckets.
    "hdrh",
    # Needed by no module of a gateway.
    "concurrent.futures.process",
    "multiprocessing",
    "sqlite3",
    "unittest",
    "xml",
)


def test_a_gateway_imports_no_module_that_it_does_not_need():
    # Guards against a longer start and a larger process for what a gateway never uses.
    code = "import sys, filbertshelf.platform.program; print(*sys.modules)"
    result = subprocess.run(
        [sys.executable, "-c", code], capture_output=True, text=True, check=True
    )
    assert set(FORBIDDEN) & set(result.stdout.split()) == set()


@pytest.mark.parametrize("name", FORBIDDEN)
def test_the_list_names_modules_that_exist(name):
    # Guards against a list that a renamed module has left.
    assert importlib.util.find_spec(name) is not None
