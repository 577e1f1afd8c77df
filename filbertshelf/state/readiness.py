"""The rules by which the configuration of an instance is confirmed."""

from __future__ import annotations

import enum
from collections.abc import Mapping

import attrs

from filbertshelf.clock import Clock
from filbertshelf.state.documents import NO_VERSION, Version

# How long the instance waits for a version after the last report of it by a peer. Its
# only holder can be gone, and the instance must not wait for it forever.
CLAIM_LIFETIME_S = 10.0


class Confirmation(enum.Enum):
    """How the configuration was confirmed."""

    PEER = "a ready peer answered"
    PLATFORM = "the platform answered"
    PLATFORM_ONLY = "the platform answered and no ready peer was reached"
    UNREADY_PEERS = "only peers that are not ready answered"


@attrs.frozen
class _Claim:
    version: Version
    reported_at: float


class Readiness:
    """Decides when the held versions of the documents are confirmed.

    An epoch starts with the instance and with each pause of its process. An answer
    counts only if its request was sent in the current epoch, because a reply that was
    buffered in a socket during a pause is out of date. `grace` is in seconds.
    """

    def __init__(
        self, required: str, documents: tuple[str, ...], grace: float, clock: Clock
    ):
        """Start the first epoch; the document `required` is needed for readiness."""
        self.epoch = 0
        self.resumed = False
        self.confirmation: Confirmation | None = None
        self._required = required
        self._documents = documents
        self._grace = grace
        self._clock = clock
        self._claims: dict[str, _Claim] = {}
        self._peer_readiness: set[bool] = set()
        self._platform_documents: set[str] = set()
        self._epoch_started_at = clock.monotonic()

    @property
    def ready(self) -> bool:
        """Return whether the configuration is confirmed in this epoch."""
        return self.confirmation is not None

    def require_confirmation(self) -> None:
        """Start a new epoch, in which the configuration must be confirmed again."""
        # The rules for a start still apply after a pause before the first confirmation.
        self.resumed = self.resumed or self.ready
        self.epoch += 1
        self.confirmation = None
        self._peer_readiness.clear()
        self._platform_documents.clear()
        self._epoch_started_at = self._clock.monotonic()

    def claim(self, document: str, version: Version) -> None:
        """Record that a peer holds a version, which is needed for the confirmation."""
        known = self._live_claim(document)
        if known is None or version >= known.version:
            self._claims[document] = _Claim(version, self._clock.monotonic())

    def drop_claim(self, document: str, version: Version) -> None:
        """Remove the claim of a version that turned out to be invalid."""
        known = self._claims.get(document)
        if known is not None and known.version == version:
            del self._claims[document]

    def peer_answered(self, epoch: int, ready: bool) -> None:
        """Record the answer of a peer to a request sent in `epoch`."""
        if epoch == self.epoch:
            self._peer_readiness.add(ready)

    def platform_answered(self, epoch: int, document: str) -> None:
        """Record the platform's answer to a request sent in `epoch`."""
        if epoch == self.epoch:
            self._platform_documents.add(document)

    def needs_platform(self, document: str) -> bool:
        """Return whether the platform has not yet answered in this epoch."""
        return document not in self._platform_documents

    def try_confirm(self, held: Mapping[str, Version]) -> bool:
        """Try to confirm the held versions; return whether this call confirmed them."""
        if self.ready or not self._reaches_claims(held):
            return False
        self.confirmation = self._confirmed_by()
        return self.ready

    def _reaches_claims(self, held: Mapping[str, Version]) -> bool:
        if held[self._required] == NO_VERSION:
            return False
        claims = ((name, self._live_claim(name)) for name in self._documents)
        return all(
            claim is None or held[name] >= claim.version for name, claim in claims
        )

    def _confirmed_by(self) -> Confirmation | None:
        if True in self._peer_readiness:
            return Confirmation.PEER
        if self.resumed and self._required in self._platform_documents:
            return Confirmation.PLATFORM
        if self._clock.monotonic() - self._epoch_started_at < self._grace:
            return None
        if self._platform_documents.issuperset(self._documents):
            return Confirmation.PLATFORM_ONLY
        # If all instances paused at the same time while the platform is down, none is
        # ready, and one must become ready first.
        if self.resumed and self._peer_readiness:
            return Confirmation.UNREADY_PEERS
        return None

    def _live_claim(self, document: str) -> _Claim | None:
        claim = self._claims.get(document)
        if claim and self._clock.monotonic() - claim.reported_at > CLAIM_LIFETIME_S:
            del self._claims[document]
            return None
        return claim
