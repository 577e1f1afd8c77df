"""Events of limits and admission control."""

from filbertshelf.events.base import define

REQUEST_QUEUED = define(
    700,
    "request-queued",
    "The request was queued by admission control.",
    "request_id",
    "caller",
    "reason",
)
RATE_TOKENS_RECEIVED = define(
    701,
    "rate-tokens-received",
    "A peer transferred unused tokens of a rate limit to this instance.",
    "policy",
    "peer",
    "tokens",
)
