"""Fixtures shared by all tests."""

from __future__ import annotations

import contextlib

import eliot
import pytest

from test.fleet import Fleet


@pytest.fixture
async def fleet():
    """Return a fleet of instances with its stand-ins, all in this process."""
    async with contextlib.AsyncExitStack() as stack:
        yield Fleet(stack)


@pytest.fixture
def log():
    """Collect the log messages of the test."""
    messages = []
    eliot.add_destinations(messages.append)
    # The first destination gets what was logged before it was added.
    messages.clear()
    yield messages
    eliot.remove_destination(messages.append)
