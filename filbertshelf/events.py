"""The numbered events; one eliot message for each decision."""

from __future__ import annotations

import enum

import attrs
from eliot import log_message


class Level(enum.Enum):
    """How much attention an event needs."""

    INFO = "info"
    WARNING = "warning"
    ERROR = "error"


@attrs.frozen
class Event:
    """One kind of event: its number, name, level, summary and field names."""

    number: int
    name: str
    level: Level
    summary: str
    fields: tuple[str, ...]


CATALOGUE: dict[int, Event] = {}


def define(
    number: int, name: str, summary: str, *fields: str, level: Level = Level.INFO
) -> Event:
    """Add an event to the catalogue and return it.

    Raises `ValueError` if the number or the name is taken.
    """
    taken = {event.name for event in CATALOGUE.values()}
    if number in CATALOGUE or name in taken:
        raise ValueError(f"event {number} {name!r} is defined twice")
    event = Event(number, name, level, summary, fields)
    CATALOGUE[number] = event
    return event


def emit(event: Event, **fields: object) -> None:
    """Write one log line for the event.

    Raises `ValueError` if a field is not in the event's catalogue entry.
    """
    unknown = fields.keys() - set(event.fields)
    if unknown:
        raise ValueError(f"event {event.name!r} has no field {sorted(unknown)}")
    log_message(
        message_type=f"filbertshelf:{event.name}",
        event=event.number,
        level=event.level.value,
        **fields,
    )


# 1xx: life of an instance.
STARTED = define(
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
READY = define(
    101, "instance-ready", "The instance has a confirmed configuration.", "reason"
)
STOPPING = define(
    102, "instance-stopping", "The instance refuses new requests.", "in_flight"
)
STOPPED = define(103, "instance-stopped", "All in-flight work has ended.", "in_flight")
PAUSED = define(
    104,
    "pause-detected",
    "The process did not run for longer than the threshold.",
    "paused_s",
    level=Level.WARNING,
)

RELOADED = define(
    106,
    "settings-reloaded",
    "The settings were read again; fields that need a restart are named.",
    "changed",
    "need_restart",
)
RELOAD_FAILED = define(
    107,
    "settings-refused",
    "The settings can't be read; the previous ones stay.",
    "reason",
    level=Level.ERROR,
)
LINES_DROPPED = define(
    105,
    "log-lines-dropped",
    "The reader of the log was too slow; lines were left out.",
    "count",
    level=Level.WARNING,
)

# 2xx: requests and routing.
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
PLANNED = define(
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
ANSWERED = define(
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

REPLANNED = define(
    206,
    "query-replanned",
    "The snapshot is gone; all answers are dropped and the query is planned again.",
    "request_id",
    "reason",
)
STOPPED_WAITING = define(
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

ROUTED_ANSWERED = define(
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
ROUTED_REFUSED = define(
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

# 3xx: targets and placement.
TARGET_ADDED = define(
    300, "target-added", "A target joined the publication.", "target", "address"
)
TARGET_REMOVED = define(
    301, "target-removed", "A target left the publication.", "target", "reason"
)
TARGET_DRAINING = define(
    302, "target-draining", "The target gets no new work.", "target", "source"
)

TARGET_SERVING = define(
    303, "target-serving", "A draining target serves again.", "target"
)

TARGET_DIED = define(
    304,
    "target-died",
    "A connection was lost and the target's address accepts no other.",
    "target",
    level=Level.WARNING,
)

TARGET_BREAKER = define(
    305,
    "target-breaker-changed",
    "The circuit breaker of a target changed its state.",
    "target",
    "service",
    "before",
    "after",
    "reason",
)

# 4xx: configuration.
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
PLATFORM_FAILED = define(
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
WATCH_CHANGED = define(
    405,
    "platform-watch-changed",
    "The instance starts or stops watching the platform for its data centre.",
    "watching",
    "watchers",
)
FETCH_FAILED = define(
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
ROW_IGNORED = define(
    409,
    "instance-row-ignored",
    "A row of the platform's instance list can't be read.",
    "row",
    "revision",
    "reason",
    level=Level.WARNING,
)
SUBSCRIBER_FAILED = define(
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
ENTRY_IGNORED = define(
    413,
    "platform-entry-ignored",
    "An entry of the platform can't be understood and names no target.",
    "key",
    "revision",
    "reason",
    level=Level.WARNING,
)

# 5xx: peers and membership.
PEERS_LISTENING = define(
    500, "peers-listening", "Other instances can connect.", "instance", "address"
)
HANDSHAKE_REFUSED = define(
    501,
    "handshake-refused",
    "A connection between instances was refused.",
    "peer",
    "direction",
    "reason",
    level=Level.WARNING,
)
FRAME_MALFORMED = define(
    502,
    "frame-malformed",
    "A frame from a peer can't be decoded and was dropped.",
    "peer",
    "reason",
    level=Level.WARNING,
)
MESSAGE_UNKNOWN = define(
    503,
    "message-unknown",
    "A message from a peer has no handler here and was dropped.",
    "peer",
    "message",
)
PEER_HANDLER_FAILED = define(
    504,
    "peer-handler-failed",
    "The handler of a peer's message raised an exception.",
    "peer",
    "message",
    "reason",
    level=Level.ERROR,
)
MEMBER_ALIVE = define(
    505,
    "member-alive",
    "A member joined, refuted a suspicion or came back.",
    "member",
    "incarnation",
    "address",
)
MEMBER_SUSPECT = define(
    506,
    "member-suspect",
    "A member did not answer probes and may be dead.",
    "member",
    "incarnation",
    "address",
)
MEMBER_DEAD = define(
    507,
    "member-dead",
    "A member is taken for dead.",
    "member",
    "incarnation",
    "address",
)
MEMBER_LEAVING = define(
    508,
    "member-leaving",
    "A member announced that it leaves.",
    "member",
    "incarnation",
    "address",
)
INCARNATION_RAISED = define(
    509,
    "incarnation-raised",
    "This instance raised its incarnation.",
    "incarnation",
    "reason",
)
PERIOD_DISCARDED = define(
    510,
    "probe-period-discarded",
    "The probe loop was late; the results of its period were dropped.",
    "late_s",
    level=Level.WARNING,
)
PAYLOAD_FAILED = define(
    511,
    "probe-payload-failed",
    "The payload of a probe could not be processed.",
    "member",
    "reason",
    level=Level.ERROR,
)

# Numbers 6xx (bookings), 7xx (limits and admission) and 8xx (quarantine) stand
# beside the code that emits them in this module.


# Numbers 5xx (peers and membership), 6xx (bookings), 7xx (limits and admission)
# and 8xx (quarantine) stand beside the code that emits them in this module.

# 6xx: bookings.
TICKET_MINTED = define(600, "ticket-minted", "A caller got a ticket.", "ticket")
MINT_REFUSED = define(
    601,
    "ticket-mint-refused",
    "No ticket was minted.",
    "reason",
    level=Level.WARNING,
)
BOOKING_RUN = define(
    602,
    "booking-run",
    "The owner runs the booking for the only time.",
    "request_id",
    "ticket",
)
BOOKING_WAITED = define(
    603,
    "booking-waited",
    "A resend waits for the running booking.",
    "request_id",
    "ticket",
)
BOOKING_RECORDED = define(
    604,
    "booking-recorded-outcome",
    "A resend got the recorded outcome.",
    "request_id",
    "ticket",
    "outcome",
)
BOOKING_REFUSED = define(
    605,
    "booking-refused",
    "The owner did not run the booking.",
    "request_id",
    "ticket",
    "reason",
    level=Level.WARNING,
)
BOOKING_FORWARDED = define(
    606,
    "booking-forwarded",
    "A booking went to the ticket's owner.",
    "request_id",
    "ticket",
    "owner",
    "address",
)
FORWARD_FAILED = define(
    607,
    "booking-forward-failed",
    "The ticket's owner gave no outcome.",
    "request_id",
    "ticket",
    "owner",
    "reason",
    level=Level.WARNING,
)
FINAL_CONSULTED = define(
    608,
    "booking-final-consulted",
    "The final table of an owner that is gone was looked up.",
    "request_id",
    "ticket",
    "owner",
    "verdict",
)
BOOKING_FINISHED = define(
    609,
    "booking-finished",
    "A run ended and its outcome is recorded.",
    "request_id",
    "ticket",
    "outcome",
    "attempts",
    "reason",
)
BOOKINGS_CLOSED = define(
    610,
    "bookings-closed",
    "The instance runs no further tickets.",
    "running",
)
TABLE_HANDED_OFF = define(
    611,
    "ticket-table-handed-off",
    "Peers hold the final ticket table.",
    "owner",
    "records",
    "peers",
)
TABLE_RECEIVED = define(
    612,
    "ticket-table-received",
    "A part of an owner's final ticket table arrived.",
    "owner",
    "part",
    "parts",
    "accepted",
)
RUNNER_FAULT = define(
    613,
    "booking-runner-fault",
    "The runner raised or broke its contract; the outcome is unknown.",
    "ticket",
    "reason",
    level=Level.ERROR,
)

# 7xx: limits and admission.
QUEUED = define(
    700,
    "request-queued",
    "The request waits for admission.",
    "request_id",
    "caller",
    "reason",
)
RATE_TOKENS_MOVED = define(
    701,
    "rate-tokens-received",
    "A peer gave up unused tokens of a rate limit.",
    "policy",
    "peer",
    "tokens",
)

# 8xx: quarantine.
CONVICTED = define(
    800,
    "query-quarantined",
    "A query crashed targets and is refused for some time.",
    "fingerprint",
    "source",
    "seconds",
    level=Level.ERROR,
)
CRASH_COUNTED = define(
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
