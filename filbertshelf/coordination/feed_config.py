"""The configuration in force on a gateway."""

from __future__ import annotations

from collections.abc import Callable

from filbertshelf import events
from filbertshelf.errors import PlatformError
from filbertshelf.protocol.feed import HeldConfig
from filbertshelf.state.platform_update import ConfigText
from filbertshelf.state.routing import RouteTable

Decoder = Callable[[bytes], RouteTable]
"""Parses the routes in a configuration; raises `PlatformContentError`."""


class FeedConfig:
    """Holds the configuration with the highest version; it never goes back."""

    def __init__(self, decode: Decoder, on_table: Callable[[RouteTable], None]):
        """Call `on_table` with the routes of each accepted configuration."""
        self.table: RouteTable | None = None
        self.text: ConfigText | None = None
        """The accepted configuration as the operator wrote it."""
        self._decode = decode
        self._on_table = on_table

    @property
    def held(self) -> HeldConfig:
        """Return which configuration is in force."""
        if self.text is None or self.table is None:
            return HeldConfig()
        return HeldConfig(self.text.revision, self.table.version)

    def apply(self, config: ConfigText, source: str) -> None:
        """Accept a configuration, unless it is malformed or older."""
        if self.text is not None and config.text == self.text.text:
            # The operator writes it again after a restore of the platform.
            self.text = config
            return
        try:
            table = self._decode(config.text)
        except PlatformError as exc:
            events.emit(
                events.CONFIG_REFUSED,
                document="routes",
                revision=config.revision,
                reason=str(exc),
            )
            return
        if self.table is not None and table.version < self.table.version:
            events.emit(
                events.CONFIG_OLDER,
                document="routes",
                offered=str(table.version),
                held=str(self.table.version),
            )
            return
        self.text = config
        self.table = table
        events.emit(
            events.CONFIG_ACCEPTED,
            document="routes",
            revision=table.version,
            digest=str(config.revision),
            source=source,
        )
        self._on_table(table)
