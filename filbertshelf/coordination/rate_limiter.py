"""Fleet-wide rate limits, enforced by a local share and tokens from peers."""

from __future__ import annotations

from filbertshelf import events
from filbertshelf.clock import Clock
from filbertshelf.coordination.membership import Membership
from filbertshelf.errors import FilbertshelfError, RateLimitError
from filbertshelf.protocol.notices import TokenRequest, Tokens
from filbertshelf.state.limits import RateShare
from filbertshelf.state.publication import Policy, Publication
from filbertshelf.transport.peers import Peers, Sender

ASK_TIMEOUT_S = 0.1
# A peer is asked for as many tokens as this instance's share receives in this time.
ASK_SHARE_SECONDS = 0.1
ASK_PAUSE_S = 0.05  # Pause after a request that got no tokens.


class RateLimiter:
    """Owns this instance's share of each policy's rate."""

    def __init__(self, clock: Clock, peers: Peers, membership: Membership):
        self._clock = clock
        self._peers = peers
        self._membership = membership
        self._shares: dict[str, RateShare] = {}
        self._next_ask_at: dict[str, float] = {}
        peers.register(TokenRequest, self._on_token_request)

    def apply_publication(self, publication: Publication) -> None:
        """Create, update and remove shares to match a publication.

        A new share is empty, so it must be created before the first request needs it.
        """
        for policy in publication.policies.values():
            if policy.rate_per_s:
                self._updated_share(policy, publication)
        for name in self._shares.keys() - publication.policies.keys():
            del self._shares[name]

    async def take_token(self, policy: Policy, publication: Publication) -> None:
        """Take one token of the policy's rate limit, asking one peer if needed.

        Raises `RateLimitError` if neither this instance nor the peer has a token.
        """
        if not policy.rate_per_s:
            return
        share = self._updated_share(policy, publication)
        if share.try_acquire() or (
            await self._borrow_tokens(policy, share) and share.try_acquire()
        ):
            return
        raise RateLimitError(
            f"the rate of policy {policy.name!r} is used up at this instance",
            "send fewer requests, or raise the policy's rate_per_s",
        )

    def _updated_share(self, policy: Policy, publication: Publication) -> RateShare:
        share = self._shares.get(policy.name)
        if share is None:
            share = RateShare(policy.rate_per_s, publication.fleet, self._clock)
            self._shares[policy.name] = share
        member_count = self._membership.member_count()
        share.configure(policy.rate_per_s, publication.fleet, member_count)
        return share

    async def _borrow_tokens(self, policy: Policy, share: RateShare) -> bool:
        now = self._clock.monotonic()
        if now < self._next_ask_at.get(policy.name, 0.0):
            return False
        # Only one request at a time asks a peer, which keeps refusals cheap.
        self._next_ask_at[policy.name] = now + ASK_TIMEOUT_S + ASK_PAUSE_S
        for member in self._membership.random_peers(1):
            token_request = TokenRequest(
                policy.name, max(1.0, share.share * ASK_SHARE_SECONDS)
            )
            try:
                reply = await self._peers.request(
                    member.address, token_request, ASK_TIMEOUT_S
                )
            except FilbertshelfError:
                return False
            age = self._clock.monotonic() - now
            if isinstance(reply, Tokens) and share.receive(reply.tokens, age) > 0:
                self._next_ask_at[policy.name] = 0.0
                events.emit(
                    events.RATE_TOKENS_RECEIVED,
                    policy=policy.name,
                    peer=member.id,
                    tokens=reply.tokens,
                )
                return True
        return False

    async def _on_token_request(self, _sender: Sender, msg: TokenRequest) -> Tokens:
        share = self._shares.get(msg.policy)
        return Tokens(share.donate(msg.tokens) if share is not None else 0.0)
