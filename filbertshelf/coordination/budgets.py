"""Budgets and latencies that all queries of an instance share."""

from __future__ import annotations

from filbertshelf.clock import Clock
from filbertshelf.state.budgets import LatencyWindow, TokenBudget, hedge_delay

RETRY_RATIO = 0.1  # Retries as a share of answered sub-requests.
RETRY_BURST = 50
HEDGE_RATIO = 0.05  # Hedged requests as a share of answered sub-requests.
HEDGE_BURST = 20


class Budgets:
    """The retry and hedge budgets, and the latencies that set the hedge delay."""

    def __init__(self, clock: Clock):
        self.retry = TokenBudget(RETRY_RATIO, RETRY_BURST)
        self.hedge = TokenBudget(HEDGE_RATIO, HEDGE_BURST)
        self._clock = clock
        self._all = LatencyWindow(clock)
        self._services: dict[str, LatencyWindow] = {}

    def answered(self, service: str, latency: float) -> None:
        """Record the latency in seconds of a sub-request that answered."""
        self.retry.deposit()
        self.hedge.deposit()
        self._all.record(latency)
        window = self._services.get(service)
        if window is None:
            window = self._services[service] = LatencyWindow(self._clock)
        window.record(latency)

    def hedge_delay(self, service: str, deadline_left: float) -> float | None:
        """Return after how many seconds to hedge, None if a hedge is of no use.

        A service with few answers uses the latencies of all services.
        """
        window = self._services.get(service)
        if window is None or window.quantile(0.5) is None:
            window = self._all
        return hedge_delay(window, deadline_left)
