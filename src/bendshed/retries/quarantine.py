"""Decides which requests are quarantined, since runners ended under them. Pure.

A request may end the process of every runner that works on it (a query of death). Its caller sends
it again under another id, through another node, so that no limit on the attempts of one try stops
it. All nodes therefore share which runners ended under which request, by its fingerprint
(``retries/fingerprint.py``).

A connection that breaks counts as the end of the process behind it until that process is known to
live: whether it ended shows seconds later, and the caller returns within milliseconds.
"""

from collections.abc import Collection, Iterable
from dataclasses import dataclass, field, replace
from typing import Protocol

from bendshed.model.runner import RunnerProcess

MAX_ENDED_RUNNERS = 3
"""A request is not sent again once so many runners have ended under it. With fewer, a request that
met failing runners by chance would be rejected often; each one more costs a runner."""
QUARANTINE_S = 600.0
"""Time since the last end, in seconds, after which a request may be sent again. Covers the tries of
a client and the retention of a program that returns."""
MAX_REQUESTS = 4096
"""Requests whose ends are stored, 3 to 7 MB. Beyond that the ones with the fewest ends are
forgotten first, so that many single ends do not push out a quarantined request."""
MAX_ENDS_PER_REQUEST = 16
"""Further ends that count do not change the decision."""
EXPIRY_INTERVAL_S = 10.0
LAPSE_S = 10.0
"""The entry of a process that has ended leaves the list within this time, in seconds. Covers three
heartbeats of a silent runner and the list's way."""
MIN_RETRY_AFTER_S = 1.0


class ProcessKnowledge(Protocol):
    """What a node knows of the processes of runners."""

    def is_listed(self, process: RunnerProcess) -> bool:
        """Whether the list of runners names the process."""

    def has_answered(self, process: RunnerProcess, after_s: float) -> bool:
        """Whether it answered a request that was sent after a loop time."""

    def has_outlived(self, process: RunnerProcess, since_s: float) -> bool:
        """Whether it has stayed listed for so long after a loop time that it lived then."""


@dataclass(frozen=True, slots=True)
class RunnerEnd:
    """The end of a runner's process while it worked on a request, or a run that may end it.

    Attributes:
        end_id: number that the node which saw it drew; the same end may be reported repeatedly.
        process: the process; its start is 0 where the runner's entry names none.
        reporter: address of the node which saw it, for logs.
        age_s: how long ago it was seen.
        is_cleared: the try that saw it was answered completely since, so it does not count any
            more.

    """

    fingerprint: bytes
    end_id: int
    process: RunnerProcess
    reporter: str = ""
    age_s: float = 0.0
    is_cleared: bool = False


@dataclass(frozen=True, slots=True)
class QuarantinedRequest:
    """A request that must not be sent.

    Attributes:
        ends: the ends that count.
        retry_after_s: time until it may be sent again.

    """

    ends: tuple[RunnerEnd, ...]
    retry_after_s: float


def num_ended_runners(ends: Iterable[RunnerEnd]) -> int:
    """Count the processes that ended.

    Where entries name no starts, each start of a runner has an id of its own, and a process ends
    once. Elsewhere a runner starts again under its id before its entry names the new process, so
    that each end counts.
    """
    return len({end.end_id if end.process.born_ms else end.process for end in ends})


@dataclass(slots=True)
class _StoredEnd:
    """An end as one node knows it.

    Attributes:
        seen_s, known_s: loop times at which it was seen, and became known here.
        is_refuted: the process has outlived it; remembered, since its entry goes later.

    """

    end: RunnerEnd
    seen_s: float
    known_s: float
    is_refuted: bool = False

    def counts(self, processes: ProcessKnowledge) -> bool:
        """Whether the process may have ended; an answer counts until its entry goes."""
        if self.end.is_cleared or self.is_refuted:
            return False
        process = self.end.process
        lives = processes.has_answered(process, self.known_s)
        return not lives and not processes.has_outlived(process, self.known_s)

    def at(self, now_s: float) -> RunnerEnd:
        return replace(self.end, age_s=max(0.0, now_s - self.seen_s))


@dataclass(slots=True)
class Quarantine:
    """Which runners ended under which requests, as one node knows it.

    Invariant: merging is idempotent and independent of the order of reports; a cleared end never
    counts again.
    """

    _by_request: dict[bytes, dict[int, _StoredEnd]] = field(default_factory=dict)
    _next_expiry_s: float = 0.0

    def __len__(self) -> int:
        """Return the number of requests under which runners ended."""
        return len(self._by_request)

    def merge(self, ends: Iterable[RunnerEnd], now_s: float) -> list[RunnerEnd]:
        """Add ends, or clear known ones; return those that were new."""
        self._expire(now_s)
        return [end for end in ends if self._merge_one(end, now_s)]

    def _merge_one(self, end: RunnerEnd, now_s: float) -> bool:
        if not end.fingerprint or end.age_s >= QUARANTINE_S:
            return False
        stored = self._by_request.setdefault(end.fingerprint, {})
        known = stored.get(end.end_id)
        if known is None:
            if len(stored) >= MAX_ENDS_PER_REQUEST and not _make_room(stored, end):
                return False
            stored[end.end_id] = _StoredEnd(end, now_s - end.age_s, now_s)
            self._limit_size(keeps=end.fingerprint)
            return True
        if end.is_cleared and not known.end.is_cleared:
            known.end = replace(known.end, is_cleared=True)
            return True
        return False

    def clear(self, fingerprint: bytes, end_ids: Collection[int], now_s: float) -> list[RunnerEnd]:
        """Clear ends of a try that was answered completely; return the changed ones.

        Ends of other tries stay: an equal request of the same program has the same fingerprint, and
        may be the one that ends runners.
        """
        stored = self._by_request.get(fingerprint, {})
        rows = [stored[end_id].at(now_s) for end_id in end_ids if end_id in stored]
        return self.merge([replace(end, is_cleared=True) for end in rows], now_s)

    def find(
        self, fingerprint: bytes, now_s: float, processes: ProcessKnowledge
    ) -> QuarantinedRequest | None:
        """Return why a request must not be sent now; ``None``: it may be sent."""
        ends = self.counted_ends(fingerprint, now_s, processes)
        if num_ended_runners(ends) < MAX_ENDED_RUNNERS:
            return None
        return QuarantinedRequest(ends, _retry_after_s(ends, processes))

    def counted_ends(
        self, fingerprint: bytes, now_s: float, processes: ProcessKnowledge
    ) -> tuple[RunnerEnd, ...]:
        """The ends that count: neither cleared, nor of a process known to live, nor too old."""
        rows = self._by_request.get(fingerprint, {}).values()
        ends = tuple(row.at(now_s) for row in rows if row.counts(processes))
        return ends if any(end.age_s < QUARANTINE_S for end in ends) else ()

    def settle(self, process: RunnerProcess, processes: ProcessKnowledge) -> None:
        """Refute the ends that a process has outlived, before its entry goes."""
        for stored in self._by_request.values():
            for row in stored.values():
                if row.end.process == process and processes.has_outlived(process, row.known_s):
                    row.is_refuted = True

    def ends(self, now_s: float, fingerprints: Collection[bytes] | None = None) -> list[RunnerEnd]:
        """All stored ends, or those of some requests, to be sent to another node."""
        self._next_expiry_s = now_s
        self._expire(now_s)
        wanted = self._by_request if fingerprints is None else fingerprints
        return [
            row.at(now_s)
            for fingerprint in wanted
            for row in self._by_request.get(fingerprint, {}).values()
        ]

    def _expire(self, now_s: float) -> None:
        if now_s < self._next_expiry_s:
            return
        self._next_expiry_s = now_s + EXPIRY_INTERVAL_S
        oldest_s = now_s - QUARANTINE_S
        for fingerprint in list(self._by_request):
            rows = self._by_request[fingerprint].values()
            if all(row.seen_s <= oldest_s for row in rows):
                del self._by_request[fingerprint]

    def _limit_size(self, keeps: bytes) -> None:
        if len(self._by_request) <= MAX_REQUESTS:
            return
        others = (name for name in self._by_request if name != keeps)
        del self._by_request[min(others, key=self._importance)]

    def _importance(self, fingerprint: bytes) -> tuple[int, float]:
        """Number of ends that count, then the time of the latest."""
        rows = self._by_request[fingerprint].values()
        num_counted = sum(1 for row in rows if not row.end.is_cleared and not row.is_refuted)
        return num_counted, max((row.seen_s for row in rows), default=0.0)


def _make_room(stored: dict[int, _StoredEnd], end: RunnerEnd) -> bool:
    """Forget the oldest end that does not count, for one that does; ``False``: there is none."""
    cleared = [row for row in stored.values() if row.end.is_cleared]
    if end.is_cleared or not cleared:
        return False
    del stored[min(cleared, key=lambda row: row.seen_s).end.end_id]
    return True


def _retry_after_s(ends: Collection[RunnerEnd], processes: ProcessKnowledge) -> float:
    """Time until a quarantined request may be sent, in seconds.

    Where it depends on processes that are still listed, it is known soon whether they ended.
    """
    doubtful = [end for end in ends if processes.is_listed(end.process)]
    gone = [end for end in ends if end not in doubtful]
    if num_ended_runners(gone) >= MAX_ENDED_RUNNERS:
        return QUARANTINE_S - min(end.age_s for end in ends)
    return max(MIN_RETRY_AFTER_S, LAPSE_S - min(end.age_s for end in doubtful))
