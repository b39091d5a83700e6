"""Tracks which runners are cold, as known to one node. Pure.

For some time after its start a runner serves a bounded rate only (``Service.cold_per_s``). It is
cold again after its zone was closed or lost, and whenever its entry says so. An entry carries the
remaining cold time as of its receipt, which the node counts down on its own steady clock. A runner
of unknown age counts as cold: treating a cold runner as warm exceeds the bound, while treating a
warm one as cold costs one request to the leader (`admission/cold_permits.py`).
"""

from collections import OrderedDict
from collections.abc import Mapping
from dataclasses import dataclass, field

from bendshed.model.runner import ServiceRunner
from bendshed.model.service_document import Service

MAX_VANISHED = 1_000
"""Runners remembered after they vanished from the list; bounds memory. One that is listed again
counts as just started."""


@dataclass(frozen=True, slots=True)
class ColdRateLimit:
    """Bound on the rate of requests to a cold runner.

    Within any second all nodes together may dispatch its service's rate times ``factor`` plus
    ``slack`` requests to it.

    Attributes:
        factor: multiplies the configured rate; at least 1 in practice.
        slack: requests allowed in addition.

    """

    factor: float = 1.0
    slack: float = 0.0

    def max_per_s(self, cold_per_s: float) -> float:
        """Requests that a cold runner may get within any second."""
        return cold_per_s * self.factor + self.slack


@dataclass(frozen=True, slots=True)
class _Entry:
    """A runner's latest entry, and the steady time at which it was received."""

    service: str
    zone: str
    received_s: float


@dataclass(slots=True)
class ColdRunners:
    """Cold runners as known to one process; times are of its own steady clock.

    Invariant: a runner is cold for at least as long as its newest entry says, counted from its
    receipt.

    Attributes:
        services: by name; give the rate bounds and how long cold starts take.
        cold_until_s: steady time until which each runner is cold; expired ones stay until
            ``pop_warm``.

    """

    services: Mapping[str, Service] = field(default_factory=dict)
    cold_until_s: dict[str, float] = field(default_factory=dict)
    _entries: dict[str, _Entry] = field(default_factory=dict)
    _vanished: "OrderedDict[str, None]" = field(default_factory=OrderedDict)
    _persisted_ids: set[str] = field(default_factory=set)

    def note_listed(self, runner: ServiceRunner, now_s: float) -> float:
        """Record a runner's new entry; return for how long the runner is cold, in seconds.

        If the entry had vanished, the runner may have stopped in that time, so it counts as just
        started.
        """
        left_s = runner.cold_left_ms / 1000
        if runner.runner_id in self._vanished:
            del self._vanished[runner.runner_id]
            left_s = max(left_s, self._cold_start_s(runner.service))
        return self._note(runner, left_s, now_s)

    def note_confirmed(self, runner: ServiceRunner, now_s: float) -> float:
        """Record an entry that is known already; it replaces one that was read from disk."""
        if runner.runner_id not in self._persisted_ids:
            return self.cold_left_ms(runner.runner_id, now_s) / 1000
        return self.note_listed(runner, now_s)

    def note_persisted(self, runner: ServiceRunner, now_s: float) -> float:
        """Record an entry that an earlier incarnation of this process persisted.

        Its age is unknown, so the cold time left at that moment counts in full from now on, until
        the entry is received again.
        """
        left_s = self._note(runner, runner.cold_left_ms / 1000, now_s)
        self._persisted_ids.add(runner.runner_id)
        return left_s

    def _note(self, runner: ServiceRunner, left_s: float, now_s: float) -> float:
        self._persisted_ids.discard(runner.runner_id)
        self._entries[runner.runner_id] = _Entry(runner.service, runner.zone, now_s)
        if left_s > 0:
            self.cold_until_s[runner.runner_id] = now_s + left_s
        elif runner.runner_id in self.cold_until_s:
            self.cold_until_s[runner.runner_id] = now_s
        return left_s

    def note_vanished(self, runner_id: str) -> None:
        """Record that a runner is unlisted; its latest entry counts until it is listed again."""
        if runner_id not in self._entries:
            return
        self._vanished[runner_id] = None
        if len(self._vanished) > MAX_VANISHED:
            forgotten, _ = self._vanished.popitem(last=False)
            self._entries.pop(forgotten, None)
            self.cold_until_s.pop(forgotten, None)

    def note_reopened(self, zone: str, at_s: float) -> list[str]:
        """Record a reopened zone: its runners count as started then, unless their entry is newer.

        Returns:
            Ids of the runners that become cold, or stay cold for longer.

        """
        reopened = []
        for runner_id, entry in self._entries.items():
            until_s = at_s + self._cold_start_s(entry.service)
            is_newer = entry.received_s > at_s
            if (
                entry.zone == zone
                and not is_newer
                and until_s > self.cold_until_s.get(runner_id, at_s)
            ):
                self.cold_until_s[runner_id] = until_s
                reopened.append(runner_id)
        return reopened

    def is_cold(self, runner_id: str, now_s: float) -> bool:
        """Whether a runner's rate is bounded now; ``False`` if its service has no bound."""
        until_s = self.cold_until_s.get(runner_id)
        return until_s is not None and now_s < until_s and self.rate_of(runner_id) > 0

    def rate_of(self, runner_id: str) -> float:
        """Requests per second that a runner serves while it is cold; 0: no bound, or unknown."""
        entry = self._entries.get(runner_id)
        service = self.services.get(entry.service) if entry is not None else None
        return service.cold_per_s if service is not None else 0.0

    def cold_left_ms(self, runner_id: str, now_s: float) -> int:
        """Remaining cold time of a runner, in milliseconds; 0: warm, as far as known."""
        return max(0, round(1000 * (self.cold_until_s.get(runner_id, now_s) - now_s)))

    def num_cold(self, now_s: float) -> int:
        """Number of listed cold runners of services with a bound."""
        listed = [runner_id for runner_id in self.cold_until_s if runner_id not in self._vanished]
        return sum(1 for runner_id in listed if self.is_cold(runner_id, now_s))

    def pop_warm(self, now_s: float) -> list[str]:
        """Forget runners that are no longer cold, and return their ids."""
        warm = [runner_id for runner_id, until_s in self.cold_until_s.items() if until_s <= now_s]
        for runner_id in warm:
            del self.cold_until_s[runner_id]
        return warm

    def _cold_start_s(self, name: str) -> float:
        service = self.services.get(name)
        return service.cold_start_ms / 1000 if service is not None else 0.0
