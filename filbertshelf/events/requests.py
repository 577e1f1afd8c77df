"""Events of requests and routing."""

from filbertshelf.events.base import Level, define

REQUEST_REJECTED = define(
    200,
    "request-rejected",
    "A malformed or refused request did not run.",
    "request_id",
    "caller",
    "code",
    "reason",
    level=Level.WARNING,
)
POLICY_CHOSEN = define(
    201,
    "policy-chosen",
    "The policy that won for the request's labels.",
    "request_id",
    "caller",
    "policy",
    "candidates",
)
QUERY_PLANNED = define(
    202,
    "query-planned",
    "The snapshot and the number of shards that the query is pinned to.",
    "request_id",
    "revision",
    "snapshot",
    "shards",
    "replan",
)
REPLICA_CHOSEN = define(
    203,
    "replica-chosen",
    "The target chosen for one shard of a request and why.",
    "request_id",
    "service",
    "shard",
    "target",
    "attempt",
    "reason",
)
ATTEMPT_FAILED = define(
    204,
    "attempt-failed",
    "A sub-request gave no usable answer.",
    "request_id",
    "service",
    "shard",
    "target",
    "result",
    "reason",
    level=Level.WARNING,
)
REQUEST_ANSWERED = define(
    205,
    "request-answered",
    "The outcome of a request.",
    "request_id",
    "outcome",
    "planned",
    "answered",
    "missing",
    "elapsed_ms",
    "sub_requests",
)

QUERY_REPLANNED = define(
    206,
    "query-replanned",
    "The snapshot is gone; all answers are dropped and the query is planned again.",
    "request_id",
    "reason",
)
QUERY_STOPPED_WAITING = define(
    207,
    "query-stopped-waiting",
    "The query ended with shards still outstanding.",
    "request_id",
    "outstanding",
    "reason",
)
CANARY_STARTED = define(
    208,
    "canary-started",
    "One shard gets the query first, because it may crash targets.",
    "request_id",
    "fingerprint",
    "verdict",
)

ROUTED_REQUEST_ENDED = define(
    209,
    "routed-request-ended",
    "The outcome of a request that took a route, and the inputs that decided it.",
    "request_id",
    "route",
    "version",
    "status",
    "outcome",
    "elapsed_ms",
    "sub_requests",
    "extra",
    "missing",
    "slowest",
    "age_s",
    "left_out",
)
ROUTED_REQUEST_REFUSED = define(
    210,
    "routed-request-refused",
    "A request did not run, because no route or no time was there for it.",
    "request_id",
    "status",
    "reason",
    "version",
    level=Level.WARNING,
)
CALLER_LEFT = define(
    211,
    "caller-left",
    "The caller closed its connection before it had an answer.",
    "request_id",
    "elapsed_ms",
)

QUERY_DELEGATED = define(
    213,
    "query-delegated",
    "Another instance runs the query, or was asked and doesn't take it.",
    "request_id",
    "member",
    "taken",
    "reason",
)
DELEGATES_CHANGED = define(
    214,
    "delegates-changed",
    "Other instances are to run the queries over many shards.",
    "local",
    "total",
    "own",
    "mesh",
)
HEDGE_DECIDED = define(
    212,
    "hedge-decided",
    "A target is slow; the decision to ask a second one, and the budget left.",
    "request_id",
    "service",
    "target",
    "waited_ms",
    "budget_left",
    "decision",
)
