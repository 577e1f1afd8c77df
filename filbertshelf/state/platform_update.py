"""What the platform holds, or what changed there since a revision."""

from __future__ import annotations

import attrs

from filbertshelf.state.directory import DirectoryChange


@attrs.frozen
class ConfigText:
    """A configuration as the operator wrote it, with the revision of its writing."""

    revision: int
    text: bytes


@attrs.frozen
class PlatformUpdate:
    """Changes of the platform's content; without `config` that one is unchanged."""

    directory: DirectoryChange
    config: ConfigText | None = None
