"""How long an answer is waited for before another way is tried: by what the way itself takes.

A bound that suits neighbours is shorter than the mere way to another region. So each bound is the
least that serves neighbours, or more where the way to that peer was measured to take longer. Pure
but for what the transport has measured.
"""

from collections.abc import Callable
from dataclasses import dataclass, field

from bendshed.model.address import Address
from bendshed.paths.neighbours import Neighbours
from bendshed.ports.round_trips import RoundTrips

PATIENCE_S = 0.06
"""A neighbour that said nothing at all for this long may be cut off: another way is tried."""
PATIENCE_TIMES = 2.0
"""A far one: after so many times its quickest answer to the same method, since a connection that
must be opened first costs one round trip more."""
PATIENCE_SLACK_S = 0.03
"""Beside that; what a commit takes longer in a burst."""
PASSED_ON_S = 0.08
"""A relay waits this much longer for a target than the target's quickest answer takes."""
RELAY_MARGIN_S = 0.02
"""A relay says that a target is silent this long before its asker gives the relay itself up."""
RELAY_PATIENCE_S = PASSED_ON_S + RELAY_MARGIN_S
"""A neighbour that was asked as a relay and is silent for so long may be cut off or dark itself."""


@dataclass(slots=True)
class AdaptiveTimeout:
    """Bounds for one node's requests.

    Attributes:
        round_trip_s: what the transport measured to a peer; ``None``: nothing.
        neighbours: where peers stand.

    """

    round_trip_s: Callable[[Address], float | None]
    neighbours: Neighbours
    _answers: RoundTrips[tuple[Address, str]] = field(default_factory=RoundTrips)

    def note(self, peer: Address, method: str, took_s: float, now_s: float) -> None:
        """A peer answered directly."""
        self._answers.note((peer, method), took_s, now_s)

    def expected_round_trip_s(self, peer: Address) -> float:
        """The round trip to a peer, or what one of its kind takes."""
        return self.neighbours.expected_round_trip_s(peer.host, self.round_trip_s(peer))

    def answer_s(self, peer: Address, method: str, now_s: float) -> float:
        """The quickest answer of a peer to a method: the way and what it does meanwhile."""
        known = self._answers.least_s((peer, method), now_s)
        return known if known is not None else self.expected_round_trip_s(peer)

    def direct_s(self, peer: Address, method: str, now_s: float) -> float:
        """So long a direct answer is waited for."""
        far_s = PATIENCE_TIMES * self.answer_s(peer, method, now_s) + PATIENCE_SLACK_S
        return max(PATIENCE_S, far_s)

    def beyond_s(self, relay: Address, peer: Address, method: str, now_s: float) -> float:
        """A relay's quickest answer from the target: one beside the target spares the way there."""
        answer_s = self.answer_s(peer, method, now_s)
        if self.neighbours.are_together(relay.host, peer.host):
            near_s = 0.0 if self.neighbours.is_far(relay.host) else answer_s
            return max(near_s, answer_s - self.expected_round_trip_s(peer))
        return answer_s

    def passed_on_s(self, relay: Address, peer: Address, method: str, now_s: float) -> float:
        """So long a relay waits for the target."""
        return self.beyond_s(relay, peer, method, now_s) + PASSED_ON_S

    def relay_s(self, relay: Address, peer: Address, method: str, now_s: float) -> float:
        """So long a relay's own answer is waited for; it may have to be connected to first."""
        to_relay_s = PATIENCE_TIMES * self.expected_round_trip_s(relay)
        return to_relay_s + self.passed_on_s(relay, peer, method, now_s) + RELAY_MARGIN_S

    def least_relay_s(self, relay: Address, peer: Address, method: str, now_s: float) -> float:
        """Sooner no answer can come through a relay."""
        return self.expected_round_trip_s(relay) + self.beyond_s(relay, peer, method, now_s)
