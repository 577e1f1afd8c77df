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
    "A publication was refused; the previous one stays in force.",
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
    "A version below the one in force was offered and ignored.",
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
    "The instance started or stopped watching the platform for its data centre.",
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
    "The process was paused; it serves again once its configuration is confirmed.",
    "config",
    level=Level.WARNING,
)
CONFIG_CONFIRMED = define(
    408,
    "configuration-confirmed",
    "The versions in force are the highest known.",
    "config",
    "instances",
    "reason",
)
INSTANCE_ROW_IGNORED = define(
    409,
    "instance-row-ignored",
    "A malformed row of the platform's instance list was ignored.",
    "row",
    "revision",
    "reason",
    level=Level.WARNING,
)
CONFIG_SUBSCRIBER_FAILED = define(
    410,
    "configuration-subscriber-failed",
    "A component of the instance failed to apply an accepted document.",
    "document",
    "reason",
    level=Level.ERROR,
)

PLATFORM_HISTORY_LOST = define(
    412,
    "platform-history-lost",
    "The platform no longer has the changes since a revision; it is read in full.",
    "revision",
    level=Level.WARNING,
)
PLATFORM_ENTRY_IGNORED = define(
    413,
    "platform-entry-ignored",
    "A malformed entry of the platform was ignored; a target entry counts as deleted.",
    "key",
    "revision",
    "reason",
    level=Level.WARNING,
)

PLATFORM_RESTORED = define(
    414,
    "platform-restored",
    "The platform came back from an older copy: its revisions went back.",
    "before",
    "era",
    "revision",
    "held",
    "source",
    level=Level.WARNING,
)
