"""When an instance's configuration counts as confirmed."""

from __future__ import annotations

import enum
from collections.abc import Mapping

import attrs

from filbertshelf.clock import Clock
from filbertshelf.state.documents import NO_VERSION, Version

# A version that a peer reported and that nobody reports again for this long is no
# longer waited for: its only holder can be gone, and the instance would never start.
CLAIM_LIFETIME_S = 10.0


class Confirmation(enum.Enum):
    """What confirmed the configuration."""

    PEER = "a ready peer answered"
    PLATFORM = "the platform answered"
    PLATFORM_ONLY = "the platform answered and no ready peer was reached"
    UNREADY_PEERS = "only peers that are not ready answered"


@attrs.frozen
class _Claim:
    version: Version
    at: float


class Readiness:
    """Decides when the held versions are confirmed.

    An epoch starts with the instance and with each pause of its process. An answer
    counts only if its request was sent in the current epoch, since a reply that waited
    in a socket during the pause says nothing about now. `grace` is in seconds.
    """

    def __init__(
        self, required: str, documents: tuple[str, ...], grace: float, clock: Clock
    ):
        """Start the first epoch; no instance is ready without `required`."""
        self.epoch = 0
        self.resumed = False
        self.confirmation: Confirmation | None = None
        self._required = required
        self._documents = documents
        self._grace = grace
        self._clock = clock
        self._claims: dict[str, _Claim] = {}
        self._peers: set[bool] = set()
        self._platform: set[str] = set()
        self._since = clock.monotonic()

    @property
    def ready(self) -> bool:
        """Return whether the configuration is confirmed in this epoch."""
        return self.confirmation is not None

    def require_confirmation(self) -> None:
        """Start a new epoch: nothing is confirmed until someone answers again."""
        # A pause before the first confirmation leaves the rules of the start in force.
        self.resumed = self.resumed or self.ready
        self.epoch += 1
        self.confirmation = None
        self._peers.clear()
        self._platform.clear()
        self._since = self._clock.monotonic()

    def claim(self, document: str, version: Version) -> None:
        """Record that a peer holds a version which must be reached first."""
        known = self._live_claim(document)
        if known is None or version >= known.version:
            self._claims[document] = _Claim(version, self._clock.monotonic())

    def drop_claim(self, document: str, version: Version) -> None:
        """Forget a version that turned out to be invalid."""
        known = self._claims.get(document)
        if known is not None and known.version == version:
            del self._claims[document]

    def peer_answered(self, epoch: int, ready: bool) -> None:
        """Record the answer of a peer to a request sent in `epoch`."""
        if epoch == self.epoch:
            self._peers.add(ready)

    def platform_answered(self, epoch: int, document: str) -> None:
        """Record the platform's answer to a request sent in `epoch`."""
        if epoch == self.epoch:
            self._platform.add(document)

    def needs_platform(self, document: str) -> bool:
        """Return whether the platform did not yet answer in this epoch."""
        return document not in self._platform

    def try_confirm(self, held: Mapping[str, Version]) -> bool:
        """Return whether the held versions became confirmed by this call."""
        if self.ready or not self._complete(held):
            return False
        self.confirmation = self._confirmed_by()
        return self.ready

    def _complete(self, held: Mapping[str, Version]) -> bool:
        if held[self._required] == NO_VERSION:
            return False
        claims = ((name, self._live_claim(name)) for name in self._documents)
        return all(
            claim is None or held[name] >= claim.version for name, claim in claims
        )

    def _confirmed_by(self) -> Confirmation | None:
        if True in self._peers:
            return Confirmation.PEER
        if self.resumed and self._required in self._platform:
            return Confirmation.PLATFORM
        if self._clock.monotonic() - self._since < self._grace:
            return None
        if self._platform.issuperset(self._documents):
            return Confirmation.PLATFORM_ONLY
        # If all instances paused together while the platform is down, none is ready
        # and one has to be the first.
        if self.resumed and self._peers:
            return Confirmation.UNREADY_PEERS
        return None

    def _live_claim(self, document: str) -> _Claim | None:
        claim = self._claims.get(document)
        if claim and self._clock.monotonic() - claim.at > CLAIM_LIFETIME_S:
            del self._claims[document]
            return None
        return claim
