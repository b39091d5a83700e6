"""What clients, runners and the operator saw: all that the oracle may look at."""

from dataclasses import dataclass, field, replace
from enum import StrEnum

from bendshed.rehearsal.site.cold import ColdSpell, RunnerSending
from bendshed.rehearsal.site.runner import RunnerEnding, RunRecord


class Kind(StrEnum):
    """Kinds of requests that programs make."""

    TURN = "turn"
    REPEATABLE = "repeatable"
    UNREPEATABLE = "unrepeatable"
    RESUMABLE_TURN = "resumable"
    """A turn whose stream may be taken up again, and which is not stored."""
    RESUMABLE_CALL = "resumable-call"
    """The same without a budget: no turn."""


RESUMABLE_KINDS = (Kind.RESUMABLE_TURN, Kind.RESUMABLE_CALL)


@dataclass(slots=True)
class SiteRequest:
    """One attempt of a client and what came back.

    Attributes:
        tenant: whose credential the client sends.
        previous: turn that it continues; empty: a chain's start.
        most_events: events that its stream may have.
        status: 0: the connection ended without an answer.
        is_whole: the answer ended properly.
        left_s: when the client left before its answer was whole; ``None``: it did not.
        resumes: attempt that brought the first event of a stream that this one takes up; empty: a
            new stream.
        after_event: id of the newest event that the client holds of that stream.
        is_serviceable: when it was sent, all machines were in touch, and two runners of the
            version that began the stream served; of a new stream: two runners served.
        operation: the same for all attempts of a client to have one request served.
        is_calm: when it was sent, all machines were in touch.
        is_harmless: runners survive it, though an equal one may end them.
        names_stream: the client names ``resumes``; otherwise that is known to the oracle alone.

    """

    request_id: str
    kind: Kind
    program_id: str
    sent_s: float
    node: str
    tenant: str = ""
    body: bytes = b""
    previous: str = ""
    budget_tokens: int = 0
    most_events: int = 0
    route_version: int = 0
    status: int = 0
    answer: bytes = b""
    is_whole: bool = False
    is_over: bool = False
    ended_s: float = 0.0
    left_s: float | None = None
    resumes: str = ""
    after_event: int = 0
    is_serviceable: bool = False
    operation: str = ""
    is_calm: bool = False
    is_harmless: bool = False
    names_stream: bool = True

    @property
    def num_events(self) -> int:
        """Whole events that this attempt brought."""
        return self.answer.count(b"\n\n")


@dataclass(slots=True)
class Departure:
    """A runner that said it leaves, and when the store had acknowledged it."""

    runner_id: str
    acknowledged_s: float


@dataclass(slots=True)
class Closing:
    """A zone that operators closed.

    Attributes:
        stored_s: by then all machines were healthy and had stored it; ``None``: not known.

    """

    zone: str
    closed_s: float
    opened_s: float = float("inf")
    stored_s: float | None = None


@dataclass(slots=True)
class Blindness:
    """A time in which a front could not reach the metadata store, or did not run.

    Attributes:
        front: which; empty: all.

    """

    front: str
    from_s: float
    to_s: float = float("inf")


@dataclass(slots=True)
class SiteRecords:
    """Everything seen.

    Attributes:
        cut_by_stop: requests open at a process that ended on a planned stop.
        versions: per process of a front, the versions in force in order of time.
        removed_s: tenant -> when the operator removed its key.
        zones_of: zone by runner.
        cold_spells: when runners were cold.
        sendings: what runners were sent by all fronts.
        endings: processes of runners that ended under a request.
        kills: names of machines whose process was killed, and when.

    """

    requests: list[SiteRequest] = field(default_factory=list)
    runs: list[RunRecord] = field(default_factory=list)
    departures: list[Departure] = field(default_factory=list)
    blindness: list[Blindness] = field(default_factory=list)
    cut_by_stop: list[str] = field(default_factory=list)
    versions: dict[str, list[int]] = field(default_factory=dict)
    newest_version: int = 0
    versions_after_quiet: dict[str, int] = field(default_factory=dict)
    retention_s: float = 60.0
    removed_s: dict[str, float] = field(default_factory=dict)
    closings: list[Closing] = field(default_factory=list)
    zones_of: dict[str, str] = field(default_factory=dict)
    cold_spells: list[ColdSpell] = field(default_factory=list)
    sendings: list[RunnerSending] = field(default_factory=list)
    endings: list[RunnerEnding] = field(default_factory=list)
    kills: list[tuple[str, float]] = field(default_factory=list)

    def end_cold(self, runner_id: str, now_s: float) -> None:
        """A runner's newer entry replaces what it reported before."""
        self.cold_spells = [
            replace(row, until_s=min(row.until_s, now_s)) if row.runner_id == runner_id else row
            for row in self.cold_spells
        ]

    def begin_blindness(self, front: str, now_s: float) -> None:
        """A front loses the metadata store; empty: all fronts do."""
        self.blindness.append(Blindness(front, now_s))

    def end_blindness(self, front: str, now_s: float) -> None:
        """It reaches it again."""
        for row in self.blindness:
            if row.front == front:
                row.to_s = min(row.to_s, now_s)

    def was_stopped(self, machine: str, from_s: float, to_s: float) -> bool:
        """Whether a machine was killed, or a front stood still, at any time of an interval."""
        is_killed = any(name == machine and from_s <= at_s <= to_s for name, at_s in self.kills)
        return is_killed or self.was_blind(machine, from_s, to_s)

    def was_blind(self, front: str, from_s: float, to_s: float) -> bool:
        """Whether a front was blind at any time of an interval."""
        return any(
            row.front in ("", front) and row.from_s < to_s and row.to_s > from_s
            for row in self.blindness
        )
