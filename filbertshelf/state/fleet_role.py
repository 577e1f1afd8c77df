"""The part that one instance has in the fleet."""

from __future__ import annotations

import attrs

from filbertshelf.state.delegation import Delegates
from filbertshelf.state.fleet_size import FleetEstimate


@attrs.frozen
class FleetRole:
    """What an instance does for queries over many shards, and its shares of limits."""

    instances: int
    """The highest number of instances, which divides fleet-wide limits."""
    gather_instances: int
    """The highest number of instances that run queries over many shards."""
    runs_gathers: bool
    """Whether this instance runs them for its callers and for other instances."""
    connects_ahead: bool
    """Whether it opens connections to shards before they are needed."""

    @classmethod
    def choose(
        cls, fleet: FleetEstimate, delegates: Delegates, full_mesh: bool
    ) -> FleetRole:
        """Return the role; `full_mesh` says whether all may connect to all targets.

        After a start each instance knows few others and seems to be a delegate in a
        fleet that is small enough for a full mesh. If all of a large fleet then
        connected to all shards, targets would spend their slots on handshakes and
        reset the connections over their caps. So connections are opened ahead only
        once the members are known.
        """
        runs_gathers = full_mesh or delegates.includes_self
        # Instances that know few members may choose other delegates.
        all_run_gathers = full_mesh or not fleet.known
        return cls(
            instances=fleet.divisor,
            gather_instances=(
                fleet.divisor if all_run_gathers else delegates.max_connection_holders()
            ),
            runs_gathers=runs_gathers,
            connects_ahead=runs_gathers and fleet.known,
        )
