"""Fixtures shared by all tests."""

from __future__ import annotations

import contextlib

import pytest

from test.fleet import Fleet


@pytest.fixture
async def fleet():
    """Return a fleet of instances with its stand-ins, all in this process."""
    async with contextlib.AsyncExitStack() as stack:
        yield Fleet(stack)
