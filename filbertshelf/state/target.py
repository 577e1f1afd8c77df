"""A target as the decisions about it see it."""

from __future__ import annotations

from collections.abc import Mapping

import attrs


@attrs.frozen
class Target:
    """A leaf: a back-end process that holds replicas of shards."""

    name: str
    address: str
    data_centre: str
    labels: Mapping[str, str]
    slots: int
    connections: int
