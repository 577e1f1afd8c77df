"""Events of requests and routing."""

from filbertshelf.events.base import Level, define

REQUEST_REJECTED = define(
    200,
    "request-rejected",
    "A request was malformed or refused and did not run.",
    "request_id",
    "caller",
    "code",
    "reason",
    level=Level.WARNING,
)
POLICY_CHOSEN = define(
    201,
    "policy-chosen",
    "The policy with the highest precedence for the request's labels was chosen.",
    "request_id",
    "caller",
    "policy",
    "candidates",
)
QUERY_PLANNED = define(
    202,
    "query-planned",
    "The query was pinned to a snapshot and its shards.",
    "request_id",
    "revision",
    "snapshot",
    "shards",
    "replan",
)
REPLICA_CHOSEN = define(
    203,
    "replica-chosen",
    "A target was chosen for one shard of a request.",
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
    "A sub-request returned no usable answer.",
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
    "A request was answered.",
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
    "The snapshot is gone; all answers were dropped and the query was planned again.",
    "request_id",
    "reason",
)
QUERY_STOPPED_WAITING = define(
    207,
    "query-stopped-waiting",
    "The query stopped waiting with shards still outstanding.",
    "request_id",
    "outstanding",
    "reason",
)
CANARY_STARTED = define(
    208,
    "canary-started",
    "The query may crash targets and is sent to one shard first.",
    "request_id",
    "fingerprint",
    "verdict",
)

ROUTED_REQUEST_ENDED = define(
    209,
    "routed-request-ended",
    "A routed request ended; the fields are its outcome and the inputs that led to it.",
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
    "waited_ms",
)
ROUTED_REQUEST_REFUSED = define(
    210,
    "routed-request-refused",
    "A request did not run because it had no route or no time left.",
    "request_id",
    "status",
    "reason",
    "version",
    level=Level.WARNING,
)
CALLER_LEFT = define(
    211,
    "caller-left",
    "The caller closed its connection before it was answered.",
    "request_id",
    "elapsed_ms",
)

QUERY_DELEGATED = define(
    213,
    "query-delegated",
    "The request was delegated to another instance, or that instance declined it.",
    "request_id",
    "member",
    "taken",
    "reason",
)
DELEGATES_CHANGED = define(
    214,
    "delegates-changed",
    "The instances that run delegated queries over many shards changed.",
    "local",
    "total",
    "own",
    "mesh",
)
HEDGE_DECIDED = define(
    212,
    "hedge-decided",
    "A target is slow; `decision` says whether a hedged request was sent.",
    "request_id",
    "service",
    "target",
    "waited_ms",
    "budget_left",
    "decision",
)
RESPONSE_CUT = define(
    215,
    "response-cut",
    "A target's response exceeded a bound, and its connection was closed.",
    "request_id",
    "service",
    "target",
    "bound",
    "body_bytes",
    level=Level.WARNING,
)
CONNECTION_CLOSED_FOR_BOUND = define(
    220,
    "connection-closed-for-bound",
    "A connection exceeded a bound and was closed, or its request was refused; at most "
    "ten lines a second, further ones are only counted. `peer` is the caller or, for "
    "untaken requests, the target.",
    "bound",
    "bytes",
    "peer",
    level=Level.WARNING,
)
OTHER_RESPONSE_DROPPED = define(
    216,
    "other-response-dropped",
    "A target sent responses to other requests where the due one was expected.",
    "request_id",
    "service",
    "target",
    "count",
    level=Level.WARNING,
)
REQUEST_WAITS = define(
    217,
    "request-waits",
    "The targets of the request have no room; it waits.",
    "request_id",
    "route",
    "group",
    "priority",
    "work_ms",
    "predicted_ms",
    "waiting",
)
REQUEST_WITHOUT_ROOM = define(
    218,
    "request-without-room",
    "The request was refused for want of room on its targets, and has not run.",
    "request_id",
    "route",
    "group",
    "reason",
    "displaced_by",
    "priority",
    "waited_ms",
    "predicted_ms",
    "work_ms",
    level=Level.WARNING,
)
ROOM_LIMIT_CHANGED = define(
    219,
    "room-limit-changed",
    "The limit on the work in flight at a group of services changed; at most one line "
    "a second for a group.",
    "group",
    "before_ms",
    "after_ms",
    "running_ms",
    "waiting",
    "reason",
)
