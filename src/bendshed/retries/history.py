"""What happened so far to one forwarded request: the state that retry decisions read."""

from dataclasses import dataclass, field


@dataclass(slots=True)
class AttemptHistory:
    """Counts of one request's attempts; changed by the ``record_…`` methods only.

    Attributes:
        deadline_s: loop time after which the request is not dispatched any more.
        num_possible_runs: attempts after which the request may have run. One that is dispatched
            counts until its runner proves that it ran nothing.
        num_admitted_runs: runs that the tenant's quota was charged for; the first is charged before
            any attempt.
        num_not_run: attempts that certainly did not run it: the runner was unreachable, rejected
            it, or lost its permit before the dispatch.
        tried: ids of runners that are not chosen again.
        failed: ids of runners that were unreachable or gave no answer, in order; the leader of the
            turn log learns them.

    """

    deadline_s: float
    num_possible_runs: int = 0
    num_admitted_runs: int = 1
    num_not_run: int = 0
    tried: set[str] = field(default_factory=set)
    failed: list[str] = field(default_factory=list)

    @property
    def may_have_run(self) -> bool:
        """Whether any runner may have begun work on the request."""
        return self.num_possible_runs > 0

    def record_choice(self, runner_id: str) -> None:
        """An attempt at a runner begins."""
        self.tried.add(runner_id)

    def record_unreachable(self, runner_id: str) -> None:
        """No connection came up, so nothing was dispatched."""
        self.num_not_run += 1
        self.failed.append(runner_id)

    def record_expired_permit(self, runner_id: str) -> None:
        """The permit for a cold runner ended before the dispatch; a new one may name it again."""
        self.num_not_run += 1
        self.tried.discard(runner_id)

    def record_dispatch(self) -> None:
        """The request's bytes are about to go to a runner."""
        self.num_possible_runs += 1

    def record_no_answer(self, runner_id: str) -> None:
        """The connection broke before an answer began: the request may have run."""
        self.failed.append(runner_id)

    def record_not_run(self) -> None:
        """The latest dispatch was answered with proof that it was not run."""
        self.num_possible_runs -= 1
        self.num_not_run += 1

    def record_admitted_run(self) -> None:
        """The tenant's quota was charged for one more run."""
        self.num_admitted_runs += 1
