"""Events of requests that crash targets."""

from filbertshelf.events.base import Level, define

QUERY_QUARANTINED = define(
    800,
    "query-quarantined",
    "A query crashed targets and is refused for some time.",
    "fingerprint",
    "source",
    "seconds",
    level=Level.ERROR,
)
REQUEST_CRASH_COUNTED = define(
    802,
    "request-crash-counted",
    "A target died while it ran the request; too many in a row refuse the request.",
    "request_id",
    "fingerprint",
    "crashes",
    "source",
    level=Level.WARNING,
)
TARGET_RESERVED = define(
    801,
    "target-reserved",
    "A suspected query will run alone on the target; 0 seconds end this.",
    "target",
    "seconds",
)
