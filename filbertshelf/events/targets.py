"""Events of targets and placement."""

from filbertshelf.events.base import Level, define

TARGET_ADDED = define(
    300, "target-added", "A target joined the publication.", "target", "address"
)
TARGET_REMOVED = define(
    301, "target-removed", "A target left the publication.", "target", "reason"
)
TARGET_DRAINING = define(
    302,
    "target-draining",
    "A target is draining and gets no new requests.",
    "target",
    "source",
)

TARGET_SERVING = define(
    303, "target-serving", "A draining target serves again.", "target"
)

TARGET_DIED = define(
    304,
    "target-died",
    "A connection to a target was lost and its address accepts no new one.",
    "target",
    level=Level.WARNING,
)

TARGET_BREAKER_CHANGED = define(
    305,
    "target-breaker-changed",
    "The circuit breaker of a target changed state.",
    "target",
    "service",
    "before",
    "after",
    "reason",
)

TARGET_RATE_LIMITED = define(
    306,
    "target-rate-limited",
    "A target named, changed or ended its limit for the requests a second from all "
    "instances; `sent` and `extra` count this instance's sub-requests before it.",
    "target",
    "service",
    "source",
    "before",
    "after",
    "sent",
    "extra",
    "elapsed_s",
)

RATE_LIMIT_IGNORED = define(
    307,
    "rate-limit-ignored",
    "A target named a malformed rate limit; the one known before stays in force.",
    "target",
    "reason",
    level=Level.WARNING,
)

TARGETS_UNREACHABLE = define(
    308,
    "targets-unreachable",
    "This instance is cut off: none of the probed targets of different services "
    "accepted a connection; `silence_s` is the time since the last response of any.",
    "probed",
    "silence_s",
    level=Level.WARNING,
)

TARGETS_REACHABLE = define(
    309,
    "targets-reachable",
    "This instance reaches the targets again after it was cut off; their failures "
    "meanwhile are forgotten.",
    "target",
    "cut_off_s",
)

TARGET_WITHHELD = define(
    310,
    "target-withheld",
    "A target gets no new requests for some seconds, or without an end as long as its "
    "process runs, because of what it, the platform or an instance has said.",
    "target",
    "service",
    "cause",
    "source",
    "seconds",
)

TARGET_RETURNED = define(
    311,
    "target-returned",
    "A target has answered after the pause that it asked for.",
    "target",
)

TARGET_HEADER_IGNORED = define(
    312,
    "target-header-ignored",
    "A target sent a malformed header, which is ignored.",
    "target",
    "reason",
    level=Level.WARNING,
)

DATA_CENTRE_EVACUATED = define(
    313,
    "data-centre-evacuated",
    "The operator evacuates a data centre: its targets get no requests until the "
    "evacuation ends. `targets` is how many of them are listed.",
    "data_centre",
    "revision",
    "source",
    "targets",
)

EVACUATION_ENDED = define(
    314,
    "evacuation-ended",
    "The evacuation of a data centre has ended, and its targets are used again.",
    "data_centre",
    "revision",
    "source",
    "targets",
)

TARGET_COLD = define(
    315,
    "target-cold",
    "A target is cold for some seconds: warm ones are preferred, and this instance "
    "sends it at most `share_per_s` requests a second (0: no limit).",
    "target",
    "service",
    "source",
    "seconds",
    "share_per_s",
)

TARGET_WARM = define(
    316,
    "target-warm",
    "A target is no longer cold; its load rises over some seconds.",
    "target",
    "service",
)
