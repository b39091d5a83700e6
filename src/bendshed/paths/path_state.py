"""When a relayed path is tried, when the direct one again, and when a path is given up. Pure.

Times are of the caller's clock, in seconds. How long one answer is waited for is
``adaptive_timeout.py``'s matter.
"""

import asyncio
from collections.abc import Collection
from dataclasses import dataclass, field

from bendshed.model.address import Address

DIRECT_PROBE_S = 0.5
"""While only relays reach a target, one request this often also goes directly: that is how late the
direct path is used again, at two extra messages a second for each target."""
RELAY_SEARCH_PAUSE_S = 0.2
"""A target that relays do not reach either is not searched through relays for this long: it is
down, and each search costs up to two relays a request."""
RELAY_AVOIDANCE_S = 1.0
"""A relay that did not answer, or did not reach a target, is not tried for this long. With a new
relay each time one relayed request in ten waited 0.3 to 0.9 s, since a third of all nodes was cut
off or dark (docs/design/0004)."""
MIN_ISOLATION_TIMEOUT_S = 0.3
"""A node without any answer for this long, of targets or relays, is isolated: it rejects requests
at once, and clients connect elsewhere."""
ISOLATION_ROUND_TRIPS = 3.0
"""And longer than so many round trips to the farthest node that did not answer it."""


@dataclass(slots=True)
class PathState:
    """What is known of the path to one target.

    Attributes:
        is_relay_only: relays reach it and the direct path does not.
        answered_s: time of the last direct answer.
        search_done: set while a request searches for a relay; the event is set at its end.
        probe_from_s: from then on one request goes directly too, though ``is_relay_only``.
        no_relay_until_s: until then relays are not tried.
        last_relay: the one that reached it last; tried first.
        avoided_until_s: relays that did not reach it, and until when they are not tried.

    """

    is_relay_only: bool = False
    answered_s: float = float("-inf")
    search_done: asyncio.Event | None = None
    probe_from_s: float = 0.0
    no_relay_until_s: float = 0.0
    last_relay: Address | None = None
    avoided_until_s: dict[Address, float] = field(default_factory=dict)

    def claim_direct_request(self, now_s: float) -> bool:
        """Whether a request goes directly; on a cut path it counts as the probe."""
        if self.is_relay_only and now_s < self.probe_from_s:
            return False
        self.probe_from_s = now_s + DIRECT_PROBE_S
        return True

    def may_relay(self, now_s: float, direct_timeout_s: float) -> bool:
        """Whether a request that has no direct answer yet searches for a relay.

        Not where the target answered another request within the timeout, since it is slow then and
        not cut off; not beside another search, which it follows instead.
        """
        if self.is_relay_only:
            return True
        answered_recently = now_s - self.answered_s < direct_timeout_s
        return not answered_recently and self.search_done is None and now_s >= self.no_relay_until_s

    def note_unreachable(self, now_s: float) -> None:
        """Relays do not reach the target either: the next request goes directly."""
        self.probe_from_s = 0.0
        if not self.is_relay_only:
            self.no_relay_until_s = now_s + RELAY_SEARCH_PAUSE_S

    def may_use_relay(self, relay: Address, now_s: float) -> bool:
        """Whether a relay is not avoided for this target."""
        return self.avoided_until_s.get(relay, 0.0) <= now_s

    def note_relay_failed(self, relay: Address, now_s: float) -> None:
        """A relay did not reach the target."""
        self.avoided_until_s[relay] = now_s + RELAY_AVOIDANCE_S


@dataclass(slots=True)
class KnownPaths:
    """Paths to all targets of a node.

    Attributes:
        by_target: the state of each path.
        last_relay_only_s: when a path was last found to be cut.

    """

    by_target: dict[Address, PathState] = field(default_factory=dict)
    last_relay_only_s: float = float("-inf")

    def get(self, target: Address) -> PathState:
        """The path to a target, noted from now on."""
        return self.by_target.setdefault(target, PathState())

    def is_relay_only(self, target: Address) -> bool:
        """Whether only relays reach a target."""
        path = self.by_target.get(target)
        return path is not None and path.is_relay_only

    @property
    def has_relay_only_path(self) -> bool:
        """Whether only relays reach any target.

        Then a target that relays do not reach may be well: the relays may be cut off too.
        """
        return any(path.is_relay_only for path in self.by_target.values())

    def may_be_relay_only(self, path: PathState) -> bool:
        """Whether another path was found cut since this one last brought a direct answer.

        Then a relay is tried at once, without the timeout of the direct path.
        """
        return self.has_relay_only_path and path.answered_s < self.last_relay_only_s


@dataclass(slots=True)
class IsolationDetector:
    """Whether any node answers this one.

    Attributes:
        relay_answered_s: time of the last answer of any relay.
        silent_since_s: time of the first failure since the last answer; ``None``: there is none.
        max_round_trip_s: longest expected round trip to a node that has failed since.

    """

    relay_answered_s: float = float("-inf")
    silent_since_s: float | None = None
    max_round_trip_s: float = 0.0

    def note_answer(self) -> None:
        """A node answered, or its machine refused the connection."""
        self.silent_since_s = None

    def note_relay_answer(self, now_s: float) -> None:
        """A relay answered, whether it reached the target or not."""
        self.relay_answered_s = now_s
        self.note_answer()

    def note_silence(self, expected_round_trip_s: float, now_s: float) -> None:
        """A node gave no answer in time."""
        if self.silent_since_s is None:
            self.silent_since_s = now_s
            self.max_round_trip_s = 0.0
        self.max_round_trip_s = max(self.max_round_trip_s, expected_round_trip_s)

    def is_isolated(self, now_s: float) -> bool:
        """Whether neither targets nor relays have answered for a while."""
        if self.silent_since_s is None:
            return False
        isolation_timeout_s = max(
            MIN_ISOLATION_TIMEOUT_S, ISOLATION_ROUND_TRIPS * self.max_round_trip_s
        )
        has_relays = now_s - self.relay_answered_s < RELAY_AVOIDANCE_S + isolation_timeout_s
        return now_s - self.silent_since_s > isolation_timeout_s and not has_relays


def rank_relays(
    relays: Collection[Address],
    last_for_target: Address | None,
    last_good: Address | None,
    far_hosts: Collection[str],
) -> list[Address]:
    """Which relay is tried first: the last that reached the target, the last that reached any.

    Then those of this region: the path through a relay beside a far target is as long, but for a
    near target it crosses the link twice. Equal ones stay in the order in which they come.

    Args:
        relays: those that may be tried.
        last_for_target: the one that reached the target last.
        last_good: the one that reached any target last.
        far_hosts: hosts of other regions.

    """
    return sorted(
        relays,
        key=lambda node: (node != last_for_target, node != last_good, node.host in far_hosts),
    )
