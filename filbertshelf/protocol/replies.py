"""The general replies to requests between instances."""

from __future__ import annotations

import attrs

from filbertshelf.protocol.messages import message


@message("done")
@attrs.frozen
class Done:
    """The handler ran and has nothing to return."""


@message("failed")
@attrs.frozen
class Failed:
    """The request gave no result at the peer."""

    reason: str
