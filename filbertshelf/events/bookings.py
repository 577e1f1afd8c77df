"""Events of bookings."""

from filbertshelf.events.base import Level, define

TICKET_MINTED = define(600, "ticket-minted", "A caller got a ticket.", "ticket")
TICKET_MINT_REFUSED = define(
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
BOOKING_RECORDED_OUTCOME = define(
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
BOOKING_FORWARD_FAILED = define(
    607,
    "booking-forward-failed",
    "The ticket's owner gave no outcome.",
    "request_id",
    "ticket",
    "owner",
    "reason",
    level=Level.WARNING,
)
BOOKING_FINAL_CONSULTED = define(
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
TICKET_TABLE_HANDED_OFF = define(
    611,
    "ticket-table-handed-off",
    "Peers hold the final ticket table.",
    "owner",
    "records",
    "peers",
)
TICKET_TABLE_RECEIVED = define(
    612,
    "ticket-table-received",
    "A part of an owner's final ticket table arrived.",
    "owner",
    "part",
    "parts",
    "accepted",
)
BOOKING_RUNNER_FAULT = define(
    613,
    "booking-runner-fault",
    "The runner raised or broke its contract; the outcome is unknown.",
    "ticket",
    "reason",
    level=Level.ERROR,
)
