"""The settings of a gateway: an instance that serves routes by host and path."""

from __future__ import annotations

import attrs

from filbertshelf.addresses import Address
from filbertshelf.settings import Settings
from filbertshelf.state.retry_window import RetryPolicy

STOP_SERVE_S = 2.6
"""The platform asks each second and takes two misses for the end of readiness."""


@attrs.frozen(kw_only=True)
class GatewaySettings:
    """All settings of one gateway; times are in seconds."""

    instance: Settings
    """Name, data centre, peers and limits, as for every instance."""
    listen: Address
    """Where callers connect."""
    ready_listen: Address
    """Where the platform asks whether callers may be sent here."""
    metrics_listen: Address | None = None
    """Where counters and histograms are served as text."""
    retries: RetryPolicy
    """The retry budget of each service over the whole fleet."""
    shard_cost_us: int = 0
    """How many microseconds this machine takes for one shard of a query, 0 unknown."""
    stop_grace_s: float
    """The time between the request to stop and the end of the process."""
    stop_serve_s: float = STOP_SERVE_S
    """How long a stopping gateway takes new connections."""
