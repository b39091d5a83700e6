"""Attempts of one forwarded request so far: the state that retry decisions read."""

from dataclasses import dataclass, field


@dataclass(slots=True)
class AttemptHistory:
    """Counts of one request's attempts; changed by the ``record_…`` methods only.

    Attributes:
        deadline_s: loop time after which the request is not dispatched any more.
        num_possible_runs: attempts after which the request may have run. One that is dispatched
            counts until its runner proves that it ran nothing.
        num_admitted_runs: runs that were charged to the tenant's quota; the first is charged before
            any attempt.
        num_not_run: attempts that certainly did not run it: the runner was unreachable or rejected
            it, or the permit expired before the dispatch.
        tried: ids of runners that are not chosen again.
        has_unproven_version: a runner of the resumed stream's version was not used, since its
            process is not proven to run that version.
        failed: ids of runners that were unreachable or gave no answer, in order; reported to the
            leader of the turn log.

    """

    deadline_s: float
    num_possible_runs: int = 0
    num_admitted_runs: int = 1
    num_not_run: int = 0
    tried: set[str] = field(default_factory=set)
    has_unproven_version: bool = False
    failed: list[str] = field(default_factory=list)

    @property
    def may_have_run(self) -> bool:
        """Whether any runner may have begun work on the request."""
        return self.num_possible_runs > 0

    def record_choice(self, runner_id: str) -> None:
        """Record the start of an attempt at a runner."""
        self.tried.add(runner_id)

    def record_unreachable(self, runner_id: str) -> None:
        """Record that no connection could be opened, so nothing was dispatched."""
        self.num_not_run += 1
        self.failed.append(runner_id)

    def record_expired_permit(self, runner_id: str) -> None:
        """Record that a cold runner's permit expired unused; a new one may name it again."""
        self.num_not_run += 1
        self.tried.discard(runner_id)

    def record_unproven_version(self) -> None:
        """Record that the resumed stream was not sent to a process of an unproven version."""
        self.num_not_run += 1
        self.has_unproven_version = True

    def record_dispatch(self) -> None:
        """Record that the request is about to be sent to a runner."""
        self.num_possible_runs += 1

    def record_no_answer(self, runner_id: str) -> None:
        """Record that the connection broke before an answer began: the request may have run."""
        self.failed.append(runner_id)

    def record_not_run(self) -> None:
        """Record an answer that proves that the latest dispatch was not run."""
        self.num_possible_runs -= 1
        self.num_not_run += 1

    def record_admitted_run(self) -> None:
        """Record that one more run was charged to the tenant's quota."""
        self.num_admitted_runs += 1
