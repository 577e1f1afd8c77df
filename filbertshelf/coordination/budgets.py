"""Retry and hedge budgets and latencies, shared by all queries of an instance."""

from __future__ import annotations

from filbertshelf.clock import Clock
from filbertshelf.state.budgets import LatencyWindow, TokenBudget, hedge_delay

RETRY_RATIO = 0.1  # Retries allowed per answered sub-request.
RETRY_BURST = 50
HEDGE_RATIO = 0.05  # Hedged requests allowed per answered sub-request.
HEDGE_BURST = 20


class Budgets:
    """Holds the retry and hedge budgets and the latencies for the hedge delay."""

    def __init__(self, clock: Clock):
        self.retry = TokenBudget(RETRY_RATIO, RETRY_BURST)
        self.hedge = TokenBudget(HEDGE_RATIO, HEDGE_BURST)
        self._clock = clock
        self._all_services = LatencyWindow(clock)
        self._service_windows: dict[str, LatencyWindow] = {}

    def record_answer(self, service: str, latency: float) -> None:
        """Record the latency of an answered sub-request and add to the budgets.

        The latency is in seconds.
        """
        self.retry.deposit()
        self.hedge.deposit()
        self._all_services.record(latency)
        window = self._service_windows.get(service)
        if window is None:
            window = self._service_windows[service] = LatencyWindow(self._clock)
        window.record(latency)

    def hedge_delay(self, service: str, deadline_left: float) -> float | None:
        """Return the hedge delay in seconds, or None if hedging would not help.

        The latencies of all services are used for a service with few answers.
        """
        window = self._service_windows.get(service)
        if window is None or window.quantile(0.5) is None:
            window = self._all_services
        return hedge_delay(window, deadline_left)
