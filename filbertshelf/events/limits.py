"""Events of limits and admission."""

from filbertshelf.events.base import define

REQUEST_QUEUED = define(
    700,
    "request-queued",
    "The request waits for admission.",
    "request_id",
    "caller",
    "reason",
)
RATE_TOKENS_RECEIVED = define(
    701,
    "rate-tokens-received",
    "A peer gave up unused tokens of a rate limit.",
    "policy",
    "peer",
    "tokens",
)
