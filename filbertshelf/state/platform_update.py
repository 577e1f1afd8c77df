"""Updates from the platform: its content or the changes since a revision."""

from __future__ import annotations

import attrs

from filbertshelf.state.directory import DirectoryChange
from filbertshelf.state.evacuation import EvacuationChange


@attrs.frozen
class ConfigText:
    """A configuration as the operator wrote it, and the revision of that write."""

    revision: int
    text: bytes


@attrs.frozen
class PlatformUpdate:
    """Changes on the platform.

    `config` is None if the configuration is unchanged, `evacuations` if they are not
    known, as from a peer of an older build.
    """

    directory: DirectoryChange
    config: ConfigText | None = None
    evacuations: EvacuationChange | None = None
