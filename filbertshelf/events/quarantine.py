"""Events of the quarantine of requests that crash targets."""

from filbertshelf.events.base import Level, define

QUERY_QUARANTINED = define(
    800,
    "query-quarantined",
    "A query crashed targets and is refused while it is in quarantine.",
    "fingerprint",
    "source",
    "seconds",
    level=Level.ERROR,
)
REQUEST_CRASH_COUNTED = define(
    802,
    "request-crash-counted",
    "A target died while it ran the request; the request is refused after too many "
    "such deaths in a row.",
    "request_id",
    "fingerprint",
    "crashes",
    "source",
    level=Level.WARNING,
)
TARGET_RESERVED = define(
    801,
    "target-reserved",
    "A target was reserved to run one suspected query alone; 0 seconds end this.",
    "target",
    "seconds",
)
