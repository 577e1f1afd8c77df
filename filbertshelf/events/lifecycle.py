"""Events of the life of an instance."""

from filbertshelf.events.base import Level, define

INSTANCE_STARTED = define(
    100,
    "instance-started",
    "The instance accepts connections.",
    "instance",
    "incarnation",
    "address",
    "peer_address",
    "data_centre",
    "version",
    "settings",
)
INSTANCE_READY = define(
    101, "instance-ready", "The instance has a confirmed configuration.", "reason"
)
INSTANCE_STOPPING = define(
    102, "instance-stopping", "The instance refuses new requests.", "in_flight"
)
INSTANCE_STOPPED = define(
    103, "instance-stopped", "All in-flight work has ended.", "in_flight"
)
PAUSE_DETECTED = define(
    104,
    "pause-detected",
    "The process did not run for longer than the threshold.",
    "paused_s",
    level=Level.WARNING,
)

SETTINGS_RELOADED = define(
    106,
    "settings-reloaded",
    "The settings were read again; fields that need a restart are named.",
    "changed",
    "need_restart",
)
SETTINGS_REFUSED = define(
    107,
    "settings-refused",
    "The settings can't be read; the previous ones stay.",
    "reason",
    level=Level.ERROR,
)
LOG_LINES_DROPPED = define(
    105,
    "log-lines-dropped",
    "The reader of the log was too slow; lines were left out.",
    "count",
    level=Level.WARNING,
)
