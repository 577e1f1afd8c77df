"""Events of peers and membership."""

from filbertshelf.events.base import Level, define

PEERS_LISTENING = define(
    500,
    "peers-listening",
    "The instance accepts connections from other instances.",
    "instance",
    "address",
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
    "A frame from a peer could not be decoded and was dropped.",
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
    "A member is considered dead.",
    "member",
    "incarnation",
    "address",
)
MEMBER_LEAVING = define(
    508,
    "member-leaving",
    "A member announced that it is leaving.",
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
PROBE_PERIOD_DISCARDED = define(
    510,
    "probe-period-discarded",
    "The probe loop was late; the results of the period were discarded.",
    "late_s",
    level=Level.WARNING,
)
PROBE_PAYLOAD_FAILED = define(
    511,
    "probe-payload-failed",
    "Processing the payload of a probe failed.",
    "member",
    "reason",
    level=Level.ERROR,
)
