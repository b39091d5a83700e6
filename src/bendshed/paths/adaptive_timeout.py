"""How long an answer is waited for before another path is tried, from measured round trips.

A timeout that suits neighbours is shorter than the mere round trip to another region. So each is
the least that serves neighbours, or more where that peer was measured to take longer. Pure but for
what the transport has measured (docs/design/0011).
"""

from collections.abc import Callable
from dataclasses import dataclass, field

from bendshed.model.address import Address
from bendshed.paths.host_locations import HostLocations
from bendshed.ports.round_trips import RoundTrips

MIN_DIRECT_TIMEOUT_S = 0.06
"""A neighbour that has not answered for this long may be cut off: a relay is tried beside it. It
bounds what a cut costs the first request; longer commits of a neighbour in a burst go twice."""
ANSWER_TIME_FACTOR = 2.0
"""A far peer has so many times its quickest answer to the same method: a connection that must be
opened first costs one round trip more. With 60 ms for all, on two regions 30 ms apart one way, 235
to 241 calm requests went through relays; with this none (simulated, twelve fronts, four stores)."""
ANSWER_SLACK_S = 0.03
"""Beside that: what a commit takes longer in a burst."""
RELAY_TARGET_SLACK_S = 0.08
"""A relay waits this much longer for a target than the target's quickest answer takes."""
RELAY_MARGIN_S = 0.02
"""A relay gives its target up this long before the requesting node gives up the relay, so that a
silent target is told apart from a silent relay."""
SECOND_RELAY_FACTOR, SECOND_RELAY_SLACK_S = 1.25, 0.03
"""A relay is late after so many times the least that its path can take, and this. Then a second one
is tried beside it: a third of all nodes may be cut off together."""


@dataclass(slots=True)
class AdaptiveTimeout:
    """Timeouts of one node's requests; all in seconds.

    Attributes:
        round_trip_s: what the transport measured to a peer; ``None``: nothing.
        host_locations: where peers are located.

    """

    round_trip_s: Callable[[Address], float | None]
    host_locations: HostLocations
    _answers: RoundTrips[tuple[Address, str]] = field(default_factory=RoundTrips)

    def note(self, peer: Address, method: str, took_s: float, now_s: float) -> None:
        """A peer answered directly."""
        self._answers.note((peer, method), took_s, now_s)

    def expected_round_trip_s(self, peer: Address) -> float:
        """The round trip to a peer, or what is usual at its distance."""
        return self.host_locations.expected_round_trip_s(peer.host, self.round_trip_s(peer))

    def expected_answer_s(self, peer: Address, method: str, now_s: float) -> float:
        """The quickest answer of a peer to a method: the round trip and its work."""
        known = self._answers.least_s((peer, method), now_s)
        return known if known is not None else self.expected_round_trip_s(peer)

    def direct_timeout_s(self, peer: Address, method: str, now_s: float) -> float:
        """How long a direct answer is waited for before a relay is tried beside it."""
        scaled_s = ANSWER_TIME_FACTOR * self.expected_answer_s(peer, method, now_s) + ANSWER_SLACK_S
        return max(MIN_DIRECT_TIMEOUT_S, scaled_s)

    def relay_to_target_s(self, relay: Address, peer: Address, method: str, now_s: float) -> float:
        """A relay's quickest answer from the target; one beside the target spares the link."""
        answer_s = self.expected_answer_s(peer, method, now_s)
        if self.host_locations.are_in_same_region(relay.host, peer.host):
            min_s = 0.0 if self.host_locations.is_far(relay.host) else answer_s
            return max(min_s, answer_s - self.expected_round_trip_s(peer))
        return answer_s

    def target_timeout_s(self, relay: Address, peer: Address, method: str, now_s: float) -> float:
        """How long a relay waits for the target."""
        return self.relay_to_target_s(relay, peer, method, now_s) + RELAY_TARGET_SLACK_S

    def relay_timeout_s(self, relay: Address, peer: Address, method: str, now_s: float) -> float:
        """How long a relay's answer is waited for; a connection may have to be opened first."""
        to_relay_s = ANSWER_TIME_FACTOR * self.expected_round_trip_s(relay)
        return to_relay_s + self.target_timeout_s(relay, peer, method, now_s) + RELAY_MARGIN_S

    def min_relay_time_s(self, relay: Address, peer: Address, method: str, now_s: float) -> float:
        """The least time in which an answer can come through a relay."""
        return self.expected_round_trip_s(relay) + self.relay_to_target_s(
            relay, peer, method, now_s
        )

    def second_relay_delay_s(
        self, relay: Address, peer: Address, method: str, now_s: float
    ) -> float:
        """How long a relay has before a second one is tried beside it."""
        least_s = self.min_relay_time_s(relay, peer, method, now_s)
        return SECOND_RELAY_FACTOR * least_s + SECOND_RELAY_SLACK_S
