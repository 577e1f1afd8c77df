"""Shared fixtures."""

import eliot
import pytest


@pytest.fixture
def log():
    """Collect the log messages of the test."""
    messages = []
    eliot.add_destinations(messages.append)
    # The first destination gets what was logged before it was added.
    messages.clear()
    yield messages
    eliot.remove_destination(messages.append)
