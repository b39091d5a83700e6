"""Tracks which nodes depend on this replica machine, and sets its registry read interval."""

import asyncio
import math
from collections.abc import Callable

from bendshed.catalog.messages import ReadRequest
from bendshed.catalog.times import CatalogTimes, ReadingPace
from bendshed.logs import PartLog
from bendshed.model.address import Address

REQUESTER_EXPIRY_S = 3.0
"""A node whose last request is older than this no longer depends on the machine."""
MIN_SHARED_REQUESTERS = 8
"""From this many nodes on, one machine that reads for all of them several times a second costs the
registry less than reads by each node (docs/design/0004)."""
SILENT_REQUESTER_S = 1.2
"""A front without a request for this long may have restarted and know no replica machine."""
SILENT_FRONT_EXPIRY_S = 30.0
"""A front that has been silent for this long is forgotten, unless the registry is lost."""

log = PartLog("catalog")


def is_reading_shared(num_dependents: int) -> bool:
    """Whether a machine with this many dependent nodes reads the registry for all of them."""
    return num_dependents >= MIN_SHARED_REQUESTERS


class Demand:
    """Nodes that recently requested the catalog of this machine.

    All times are loop times, in seconds.

    Attributes:
        front_requested_at_s: time of each front's last request.
        pace: how often this machine reads the registry now.
        on_pace_change: called after ``pace`` has changed.

    """

    def __init__(self, times: CatalogTimes) -> None:
        self.front_requested_at_s: dict[Address, float] = {}
        self.pace = times.pace(is_in_demand=False)
        self.on_pace_change: list[Callable[[ReadingPace], None]] = []
        self._times = times
        self._replica_requested_at_s: dict[Address, float] = {}
        self._num_dependent_fronts: dict[Address, int] = {}

    def record_request(self, request: ReadRequest) -> bool:
        """Record a request; ``True``: the requesting node was not known here."""
        at_s = self._replica_requested_at_s if request.is_replica else self.front_requested_at_s
        is_new = request.requester not in at_s
        at_s[request.requester] = asyncio.get_running_loop().time()
        if request.is_replica:
            self._num_dependent_fronts[request.requester] = request.num_dependent_fronts
        return is_new

    @property
    def num_dependents(self) -> int:
        """Number of fronts and replica machines that depend on this one, also indirectly."""
        replicas = self._recent(self._replica_requested_at_s)
        num_dependent_fronts = sum(
            self._num_dependent_fronts.get(replica, 0) for replica in replicas
        )
        return self.num_fronts + len(replicas) + num_dependent_fronts

    @property
    def num_fronts(self) -> int:
        """Number of fronts that recently requested the catalog of this machine."""
        return len(self._recent(self.front_requested_at_s))

    def _recent(self, requested_at_s: dict[Address, float]) -> list[Address]:
        oldest_s = asyncio.get_running_loop().time() - REQUESTER_EXPIRY_S
        return [node for node, at_s in requested_at_s.items() if at_s >= oldest_s]

    def silent_fronts(self) -> list[Address]:
        """Fronts that requested the catalog of this machine but sent no request recently."""
        now_s = asyncio.get_running_loop().time()
        return [
            front
            for front, at_s in self.front_requested_at_s.items()
            if now_s - at_s > SILENT_REQUESTER_S
        ]

    def expire_silent(self, keep_fronts: bool) -> None:
        """Forget nodes that have been silent for a long time.

        ``keep_fronts``: keep all fronts, since the registry does not answer and a front that
        restarts learns of replica machines only from their hellos.
        """
        now_s = asyncio.get_running_loop().time()
        for known, expiry_s in (
            (self.front_requested_at_s, math.inf if keep_fronts else SILENT_FRONT_EXPIRY_S),
            (self._replica_requested_at_s, REQUESTER_EXPIRY_S),
        ):
            for node in [node for node, at_s in known.items() if now_s - at_s > expiry_s]:
                del known[node]
        for replica in [
            name for name in self._num_dependent_fronts if name not in self._replica_requested_at_s
        ]:
            del self._num_dependent_fronts[replica]

    def update_pace(self) -> None:
        """Read the registry often while enough nodes depend on this machine, rarely otherwise."""
        num_dependents = self.num_dependents
        is_in_demand = is_reading_shared(num_dependents)
        pace = self._times.pace(is_in_demand)
        if pace == self.pace:
            return
        self.pace = pace
        log.say(
            "registry reading pace changed: demand of other nodes",
            is_in_demand=is_in_demand,
            askers=num_dependents,
            every_s=pace.wait_s,
        )
        for on_pace_change in self.on_pace_change:
            on_pace_change(pace)
