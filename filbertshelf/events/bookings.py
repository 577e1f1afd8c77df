"""Events of bookings."""

from filbertshelf.events.base import Level, define

TICKET_MINTED = define(
    600, "ticket-minted", "A ticket was issued to a caller.", "ticket"
)
TICKET_MINT_REFUSED = define(
    601,
    "ticket-mint-refused",
    "A request for a ticket was refused.",
    "reason",
    level=Level.WARNING,
)
BOOKING_RUN = define(
    602,
    "booking-run",
    "The ticket's owner runs the booking, which happens only once.",
    "request_id",
    "ticket",
)
BOOKING_WAITED = define(
    603,
    "booking-waited",
    "A resent booking waits for the one that is running.",
    "request_id",
    "ticket",
)
BOOKING_RECORDED_OUTCOME = define(
    604,
    "booking-recorded-outcome",
    "A resent booking was answered with the recorded outcome.",
    "request_id",
    "ticket",
    "outcome",
)
BOOKING_REFUSED = define(
    605,
    "booking-refused",
    "The ticket's owner refused to run the booking.",
    "request_id",
    "ticket",
    "reason",
    level=Level.WARNING,
)
BOOKING_FORWARDED = define(
    606,
    "booking-forwarded",
    "A booking was forwarded to the ticket's owner.",
    "request_id",
    "ticket",
    "owner",
    "address",
)
BOOKING_FORWARD_FAILED = define(
    607,
    "booking-forward-failed",
    "The ticket's owner returned no outcome for a forwarded booking.",
    "request_id",
    "ticket",
    "owner",
    "reason",
    level=Level.WARNING,
)
BOOKING_FINAL_CONSULTED = define(
    608,
    "booking-final-consulted",
    "The final ticket table of a stopped owner was consulted.",
    "request_id",
    "ticket",
    "owner",
    "verdict",
)
BOOKING_FINISHED = define(
    609,
    "booking-finished",
    "A booking finished and its outcome was recorded.",
    "request_id",
    "ticket",
    "outcome",
    "attempts",
    "reason",
)
BOOKINGS_CLOSED = define(
    610,
    "bookings-closed",
    "The instance runs no further bookings.",
    "running",
)
TICKET_TABLE_HANDED_OFF = define(
    611,
    "ticket-table-handed-off",
    "The final ticket table was handed to peers.",
    "owner",
    "records",
    "peers",
)
TICKET_TABLE_RECEIVED = define(
    612,
    "ticket-table-received",
    "A part of an owner's final ticket table was received.",
    "owner",
    "part",
    "parts",
    "accepted",
)
BOOKING_RUNNER_FAULT = define(
    613,
    "booking-runner-fault",
    "The booking runner raised or broke its contract; the outcome is unknown.",
    "ticket",
    "reason",
    level=Level.ERROR,
)
