"""Decides when to relay a request, when to retry the direct path, and when to give up. Pure.

Times are seconds of the caller's clock. ``adaptive_timeout.py`` decides how long to wait for one
answer.
"""

import asyncio
from collections.abc import Collection
from dataclasses import dataclass, field

from bendshed.model.address import Address

DIRECT_PROBE_S = 0.5
"""While only relays reach a target, one request per interval is also sent directly. This bounds how
late the direct path is used again, at two extra messages a second for each target."""
RELAY_SEARCH_PAUSE_S = 0.2
"""Time for which no relay is searched for a target that relays do not reach either: it is down, and
each search costs up to two relays per request."""
RELAY_AVOIDANCE_S = 1.0
"""Time for which a relay that did not answer, or did not reach a target, is not tried. When each
request tried a new relay, one relayed request in ten waited 0.3 to 0.9 s, because a third of all
nodes was cut off or did not answer (docs/design/0004)."""
MIN_ISOLATION_TIMEOUT_S = 0.3
"""A node that got no answer from any target or relay for this long is isolated: it rejects requests
at once, and clients connect elsewhere."""
ISOLATION_ROUND_TRIPS = 3.0
"""The silence must also exceed this many round trips to the farthest node that did not answer."""


@dataclass(slots=True)
class PathState:
    """State of the path to one target.

    Attributes:
        is_relay_only: relays reach the target and the direct path does not.
        answered_s: time of the last direct answer.
        search_done: event that the running search for a relay sets at its end; ``None``: none runs.
        probe_from_s: time from which one request is also sent directly despite ``is_relay_only``.
        no_relay_until_s: time before which no relay is searched.
        last_relay: relay that last reached the target; tried first.
        avoided_until_s: relays that did not reach the target, and until when they are not tried.

    """

    is_relay_only: bool = False
    answered_s: float = float("-inf")
    search_done: asyncio.Event | None = None
    probe_from_s: float = 0.0
    no_relay_until_s: float = 0.0
    last_relay: Address | None = None
    avoided_until_s: dict[Address, float] = field(default_factory=dict)

    def claim_direct_request(self, now_s: float) -> bool:
        """Return whether a request is sent directly; on a relay-only path it is the probe."""
        if self.is_relay_only and now_s < self.probe_from_s:
            return False
        self.probe_from_s = now_s + DIRECT_PROBE_S
        return True

    def may_relay(self, now_s: float, direct_timeout_s: float) -> bool:
        """Return whether a request without a direct answer so far searches for a relay.

        A target that answered another request within the timeout is slow and not cut off. While
        another search runs, the request waits for its result instead.
        """
        if self.is_relay_only:
            return True
        answered_recently = now_s - self.answered_s < direct_timeout_s
        return not answered_recently and self.search_done is None and now_s >= self.no_relay_until_s

    def note_unreachable(self, now_s: float) -> None:
        """Record that relays do not reach the target either; the next request goes directly."""
        self.probe_from_s = 0.0
        if not self.is_relay_only:
            self.no_relay_until_s = now_s + RELAY_SEARCH_PAUSE_S

    def may_use_relay(self, relay: Address, now_s: float) -> bool:
        """Return whether a relay may be tried for this target."""
        return self.avoided_until_s.get(relay, 0.0) <= now_s

    def note_relay_failed(self, relay: Address, now_s: float) -> None:
        """Record that a relay did not reach the target."""
        self.avoided_until_s[relay] = now_s + RELAY_AVOIDANCE_S


@dataclass(slots=True)
class KnownPaths:
    """Paths to all targets of a node.

    Attributes:
        by_target: the state of each path.
        last_relay_only_s: when a path last became relay-only.

    """

    by_target: dict[Address, PathState] = field(default_factory=dict)
    last_relay_only_s: float = float("-inf")

    def get(self, target: Address) -> PathState:
        """Return the path to a target; a new one is added."""
        return self.by_target.setdefault(target, PathState())

    def is_relay_only(self, target: Address) -> bool:
        """Whether only relays reach a target."""
        path = self.by_target.get(target)
        return path is not None and path.is_relay_only

    @property
    def has_relay_only_path(self) -> bool:
        """Whether any target is reached by relays only.

        Then a target that relays do not reach may still be up: the relays may be cut off from it
        too.
        """
        return any(path.is_relay_only for path in self.by_target.values())

    def may_be_relay_only(self, path: PathState) -> bool:
        """Whether another path became relay-only since this one last returned a direct answer.

        Then a relay is tried at once, without waiting for the direct path to time out.
        """
        return self.has_relay_only_path and path.answered_s < self.last_relay_only_s


@dataclass(slots=True)
class IsolationDetector:
    """Detects that no node answers this one.

    Attributes:
        relay_answered_s: time of the last answer from any relay.
        silent_since_s: time of the first failure since the last answer; ``None``: there is none.
        max_round_trip_s: longest expected round trip to a node that has failed since.

    """

    relay_answered_s: float = float("-inf")
    silent_since_s: float | None = None
    max_round_trip_s: float = 0.0

    def note_answer(self) -> None:
        """Record that a node answered, or that its machine refused the connection."""
        self.silent_since_s = None

    def note_relay_answer(self, now_s: float) -> None:
        """Record that a relay answered, whether it reached the target or not."""
        self.relay_answered_s = now_s
        self.note_answer()

    def note_silence(self, expected_round_trip_s: float, now_s: float) -> None:
        """Record that a node did not answer in time."""
        if self.silent_since_s is None:
            self.silent_since_s = now_s
            self.max_round_trip_s = 0.0
        self.max_round_trip_s = max(self.max_round_trip_s, expected_round_trip_s)

    def is_isolated(self, now_s: float) -> bool:
        """Return whether neither targets nor relays have answered within the isolation timeout."""
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
    """Sort relays: the last one that reached the target, then the last one that reached any.

    Relays of this region follow. For a target in another region, the path through a relay there is
    equally long, but for a target in this region it crosses the link between regions twice. Equal
    relays keep their order.

    Args:
        relays: relays that may be tried.
        last_for_target: relay that last reached the target.
        last_good: relay that last reached any target.
        far_hosts: hosts in other regions.

    """
    return sorted(
        relays,
        key=lambda node: (node != last_for_target, node != last_good, node.host in far_hosts),
    )
