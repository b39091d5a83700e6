"""Timeouts after which a request tries another path, derived from measured round trips.

A timeout that suits nearby peers is shorter than a round trip to another region. Each timeout is
therefore the minimum that suits nearby peers, or longer for a peer that was measured to take
longer. Pure except for the transport's measurements (docs/design/0011).
"""

from collections.abc import Callable
from dataclasses import dataclass, field

from bendshed.model.address import Address
from bendshed.paths.host_locations import HostLocations
from bendshed.ports.round_trips import RoundTrips

MIN_DIRECT_TIMEOUT_S = 0.06
"""A nearby peer that has not answered within this time may be cut off, so a relay is tried in
parallel. This bounds the delay of the first request after a network partition. A request whose
commit at a nearby peer takes longer, as in a burst, is sent twice."""
ANSWER_TIME_FACTOR = 2.0
"""A distant peer may take this multiple of its fastest answer to the same method, because opening a
connection first costs one more round trip. With 60 ms for all peers, on two regions 30 ms apart one
way, 235 to 241 requests were relayed although nothing had failed; with this factor none were
(simulated: twelve fronts, four stores)."""
ANSWER_SLACK_S = 0.03
"""Added to that multiple, for the extra time that a commit takes during a burst."""
RELAY_TARGET_SLACK_S = 0.08
"""A relay waits for the target this much longer than the target's fastest answer takes."""
RELAY_MARGIN_S = 0.02
"""A relay stops waiting for its target this long before the requesting node stops waiting for the
relay, so that a silent target can be distinguished from a silent relay."""
SECOND_RELAY_FACTOR, SECOND_RELAY_SLACK_S = 1.25, 0.03
"""A relay is late after its minimum path time multiplied by the factor, plus the slack. A second
relay is then tried in parallel, because a third of all nodes may be cut off together."""


@dataclass(slots=True)
class AdaptiveTimeout:
    """Timeouts of one node's requests; all in seconds.

    Attributes:
        round_trip_s: round trip that the transport measured to a peer; ``None`` if there is none.
        host_locations: where peers are located.

    """

    round_trip_s: Callable[[Address], float | None]
    host_locations: HostLocations
    _answers: RoundTrips[tuple[Address, str]] = field(default_factory=RoundTrips)

    def note(self, peer: Address, method: str, took_s: float, now_s: float) -> None:
        """Record how long a peer's direct answer took."""
        self._answers.record((peer, method), took_s, now_s)

    def expected_round_trip_s(self, peer: Address) -> float:
        """Return the measured round trip to a peer, or the default for its distance."""
        return self.host_locations.expected_round_trip_s(peer.host, self.round_trip_s(peer))

    def expected_answer_s(self, peer: Address, method: str, now_s: float) -> float:
        """Return the fastest answer of a peer to a method: the round trip and the processing."""
        known = self._answers.min_s((peer, method), now_s)
        return known if known is not None else self.expected_round_trip_s(peer)

    def direct_timeout_s(self, peer: Address, method: str, now_s: float) -> float:
        """Return how long to wait for a direct answer before trying a relay in parallel."""
        scaled_s = ANSWER_TIME_FACTOR * self.expected_answer_s(peer, method, now_s) + ANSWER_SLACK_S
        return max(MIN_DIRECT_TIMEOUT_S, scaled_s)

    def relay_to_target_s(self, relay: Address, peer: Address, method: str, now_s: float) -> float:
        """Return the fastest answer that a relay can get from the target.

        A relay in the target's region does not cross the link between regions again.
        """
        answer_s = self.expected_answer_s(peer, method, now_s)
        if self.host_locations.are_in_same_region(relay.host, peer.host):
            min_s = 0.0 if self.host_locations.is_far(relay.host) else answer_s
            return max(min_s, answer_s - self.expected_round_trip_s(peer))
        return answer_s

    def target_timeout_s(self, relay: Address, peer: Address, method: str, now_s: float) -> float:
        """Return how long a relay waits for the target."""
        return self.relay_to_target_s(relay, peer, method, now_s) + RELAY_TARGET_SLACK_S

    def relay_timeout_s(self, relay: Address, peer: Address, method: str, now_s: float) -> float:
        """Return how long to wait for a relay, which may include opening a connection to it."""
        to_relay_s = ANSWER_TIME_FACTOR * self.expected_round_trip_s(relay)
        return to_relay_s + self.target_timeout_s(relay, peer, method, now_s) + RELAY_MARGIN_S

    def min_relay_time_s(self, relay: Address, peer: Address, method: str, now_s: float) -> float:
        """Return the minimum time in which an answer can arrive through a relay."""
        return self.expected_round_trip_s(relay) + self.relay_to_target_s(
            relay, peer, method, now_s
        )

    def second_relay_delay_s(
        self, relay: Address, peer: Address, method: str, now_s: float
    ) -> float:
        """Return how long to wait for a relay before trying a second one in parallel."""
        least_s = self.min_relay_time_s(relay, peer, method, now_s)
        return SECOND_RELAY_FACTOR * least_s + SECOND_RELAY_SLACK_S
