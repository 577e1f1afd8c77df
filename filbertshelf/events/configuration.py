"""Events of the configuration and the platform."""

from filbertshelf.events.base import Level, define

CONFIG_ACCEPTED = define(
    400,
    "configuration-accepted",
    "A new version of a document is in force.",
    "document",
    "revision",
    "digest",
    "source",
)
CONFIG_REFUSED = define(
    401,
    "configuration-refused",
    "A publication was refused; the previous one stays.",
    "document",
    "revision",
    "reason",
    level=Level.ERROR,
)
PLATFORM_UNAVAILABLE = define(
    402,
    "platform-unavailable",
    "The platform can't be read; the last version stays in force.",
    "reason",
    level=Level.WARNING,
)
CONFIG_OLDER = define(
    403,
    "configuration-older",
    "A lower version than the one in force was offered and has no effect.",
    "document",
    "offered",
    "held",
    level=Level.WARNING,
)
PLATFORM_RECOVERED = define(
    404, "platform-recovered", "The platform answers again.", "document", "failures"
)
PLATFORM_WATCH_CHANGED = define(
    405,
    "platform-watch-changed",
    "The instance starts or stops watching the platform for its data centre.",
    "watching",
    "watchers",
)
CONFIG_FETCH_FAILED = define(
    406,
    "configuration-fetch-failed",
    "A peer that offered a higher version did not deliver it.",
    "document",
    "peer",
    "reason",
    level=Level.WARNING,
)
CONFIG_UNCONFIRMED = define(
    407,
    "configuration-unconfirmed",
    "The process paused; its configuration must be confirmed before it serves.",
    "config",
    level=Level.WARNING,
)
CONFIG_CONFIRMED = define(
    408,
    "configuration-confirmed",
    "The held versions are the highest that were seen.",
    "config",
    "instances",
    "reason",
)
INSTANCE_ROW_IGNORED = define(
    409,
    "instance-row-ignored",
    "A row of the platform's instance list can't be read.",
    "row",
    "revision",
    "reason",
    level=Level.WARNING,
)
CONFIG_SUBSCRIBER_FAILED = define(
    410,
    "configuration-subscriber-failed",
    "A part of the instance could not apply an accepted document.",
    "document",
    "reason",
    level=Level.ERROR,
)

PLATFORM_HISTORY_LOST = define(
    412,
    "platform-history-lost",
    "The platform forgot the changes since a revision; it is read whole.",
    "revision",
    level=Level.WARNING,
)
PLATFORM_ENTRY_IGNORED = define(
    413,
    "platform-entry-ignored",
    "An entry of the platform can't be understood and names no target.",
    "key",
    "revision",
    "reason",
    level=Level.WARNING,
)
