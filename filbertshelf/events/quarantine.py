"""Events of the quarantine of requests that crash targets."""

from filbertshelf.events.base import Level, define

QUERY_QUARANTINED = define(
    800,
    "query-quarantined",
    "A query crashed targets and is in quarantine for some seconds.",
    "fingerprint",
    "source",
    "seconds",
    level=Level.ERROR,
)
REQUEST_CRASH_COUNTED = define(
    802,
    "request-crash-counted",
    "A target died while it ran the request; after too many in a row it is refused.",
    "request_id",
    "fingerprint",
    "crashes",
    "source",
    level=Level.WARNING,
)
TARGET_RESERVED = define(
    801,
    "target-reserved",
    "A target was reserved for one suspect query; 0 seconds end the reservation.",
    "target",
    "seconds",
)
