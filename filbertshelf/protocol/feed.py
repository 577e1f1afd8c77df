"""Messages between gateways about what the platform holds."""

from __future__ import annotations

import zlib

import attrs

from filbertshelf.addresses import parse_address
from filbertshelf.protocol.messages import message
from filbertshelf.state.directory import DirectoryChange, ListedTarget, TargetChange
from filbertshelf.state.news import ConfigText, News


@attrs.frozen
class TargetRow:
    """One target in a message; without `service` it is gone."""

    id: str
    revision: int
    service: str = ""
    address: str = ""
    data_centre: str = ""
    slots: int = 0
    draining: bool = False
    started_ms: int = 0

    @classmethod
    def of(cls, change: TargetChange) -> TargetRow:
        """Return the row for a change."""
        found = change.target
        if found is None:
            return cls(change.id, change.revision)
        return cls(
            change.id,
            change.revision,
            found.service,
            "{}:{}".format(*found.address),
            found.data_centre,
            found.slots,
            found.draining,
            found.started_ms,
        )

    def change(self) -> TargetChange:
        """Return the change in the row."""
        if not self.service:
            return TargetChange(self.id, self.revision, None)
        target = ListedTarget(
            self.id,
            self.service,
            parse_address(self.address),
            self.data_centre,
            self.slots,
            self.draining,
            self.started_ms,
        )
        return TargetChange(self.id, self.revision, target)


@message("feed-news")
@attrs.frozen
class FeedNews:
    """What changed above the revision `since`, as the sender knows it.

    `age_s` is the time since the platform said so, `unsure` tells that targets may be
    missing only because the platform was away. `config_revision` is the one that the
    sender holds; `config` is compressed, and empty if the receiver should hold it too.
    """

    since: int
    revision: int
    targets: tuple[TargetRow, ...]
    config_revision: int
    config: bytes
    age_s: float
    unsure: bool

    @classmethod
    def of(
        cls, news: News, config_revision: int, age_s: float, unsure: bool
    ) -> FeedNews:
        """Return the message for news; the sender holds `config_revision`."""
        rows = tuple(TargetRow.of(change) for change in news.directory.targets)
        return cls(
            news.directory.since,
            news.directory.revision,
            rows,
            config_revision,
            zlib.compress(news.config.text) if news.config else b"",
            age_s,
            unsure,
        )

    def news(self) -> News:
        """Return the news in the message."""
        changes = tuple(row.change() for row in self.targets)
        directory = DirectoryChange(self.since, self.revision, changes)
        config = None
        if self.config:
            config = ConfigText(self.config_revision, zlib.decompress(self.config))
        return News(directory, config)


@message("feed-wanted")
@attrs.frozen
class FeedWanted:
    """Asks for everything above the revisions that the sender holds."""

    revision: int
    config_revision: int
