"""The generic replies to requests between instances."""

from __future__ import annotations

import attrs

from filbertshelf.protocol.messages import message


@message("done")
@attrs.frozen
class Done:
    """The handler has finished without a result."""


@message("failed")
@attrs.frozen
class Failed:
    """The peer has no result for the request."""

    reason: str
