"""Events of the lifecycle of an instance."""

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
    102,
    "instance-stopping",
    "The instance is stopping and refuses new requests.",
    "in_flight",
)
INSTANCE_STOPPED = define(
    103,
    "instance-stopped",
    "The instance stops serving; `in_flight` requests did not finish and are refused.",
    "in_flight",
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
    "The settings were reloaded; `need_restart` lists changes that need a restart.",
    "changed",
    "need_restart",
)
SETTINGS_REFUSED = define(
    107,
    "settings-refused",
    "The settings could not be reloaded; the previous ones stay in force.",
    "reason",
    level=Level.ERROR,
)
UNEXPECTED_ERROR = define(
    108,
    "unexpected-error",
    "A step of the program failed in a way that nothing expects; the process goes on.",
    "where",
    "reason",
    "traceback",
    level=Level.ERROR,
)
LOG_LINES_DROPPED = define(
    105,
    "log-lines-dropped",
    "Log lines were dropped because the reader of the log was too slow.",
    "count",
    level=Level.WARNING,
)
