"""Fixtures that start peers on ports assigned by the system."""

import pytest

from filbertshelf.clock import SystemClock
from filbertshelf.settings import Settings
from filbertshelf.state.members import Identity
from filbertshelf.transport.peers import Peers

KEY = "0123456789abcdef"


@pytest.fixture
async def start_peers():
    started = []

    async def start(name, key=KEY, **kwargs):
        cfg = Settings(
            name=name,
            data_centre="bne-1",
            fleet_key=key,
            platform=("127.0.0.1", 1),
            drain_timeout=1.0,
        )
        clock = SystemClock()
        peers = Peers(cfg, Identity.start(name, "bne-1", clock), clock, **kwargs)
        await peers.start()
        started.append(peers)
        return peers

    yield start
    for peers in started:
        await peers.stop()
