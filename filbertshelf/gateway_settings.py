"""The settings of a gateway, an instance that serves routes by host and path."""

from __future__ import annotations

from collections.abc import Mapping

import attrs

from filbertshelf.addresses import Address
from filbertshelf.settings import Settings
from filbertshelf.state.cold import ColdBound
from filbertshelf.state.retry_window import RetryPolicy

STOP_SERVE_S = 2.6
"""The platform checks readiness each second and drops a gateway after two failures."""


@attrs.frozen(kw_only=True)
class GatewaySettings:
    """All settings of one gateway; times are in seconds."""

    instance: Settings
    """Name, data centre, peers and limits, as for every instance."""
    listen: Address
    """The listen address for callers."""
    ready_listen: Address
    """The listen address for the platform's readiness checks."""
    metrics_listen: Address | None = None
    """The listen address for metrics, None to serve none."""
    retries: RetryPolicy
    """The retry budget of each service across the whole fleet."""
    cold: ColdBound = attrs.field(factory=ColdBound)
    """How far the whole fleet may exceed the rate of a cold target."""
    shard_cost_us: int = 0
    """Microseconds that this machine needs for one shard of a query; 0 if unknown."""
    regions: Mapping[str, str] = attrs.field(factory=dict)
    """The region of each data centre; one that is absent is in no known region."""
    memory_bytes: int = 0
    """The memory of this machine; 0 if unknown."""
    max_descriptors: int = 0
    """How many descriptors the process may have open; 0 if unknown."""
    stop_grace_s: float
    """The time from the stop signal to the end of the process."""
    stop_serve_s: float = STOP_SERVE_S
    """How long a stopping gateway still accepts new connections."""
