"""One program's token budget in one group of the turn log. Pure.

With several groups, each holds a share of the budget. The initial shares add up to the budget. A
share moves only by being released permanently in one group before another group may count it, so
all groups together never hold more than the budget, even if messages are lost, repeated or late.
Source: docs/design/0012.
"""

from dataclasses import dataclass, field

from bendshed.wire import turns_pb2 as wire

MAX_CLOSED_TURNS = 64
"""Ids of finished turns stored per program, to detect commands that arrive twice or late."""
UNNUMBERED = 0
"""Stands for begins without a number, which cannot be matched with the answers to them."""


def initial_share(budget_tokens: int, group_id: int, num_groups: int) -> int:
    """Return the tokens of a budget that a group may spend before it takes over another share."""
    if num_groups <= 1:
        return budget_tokens
    rest = budget_tokens % num_groups if group_id == 0 else 0
    return budget_tokens // num_groups + rest


@dataclass(slots=True)
class ProgramBudget:
    """Token budget of one program.

    Invariant: ``spent_tokens`` plus all reservations never exceeds what the group held when the
    newest reservation was made.

    Attributes:
        spent_tokens: tokens charged for ended turns.
        reserved: maximum tokens of each running turn, by turn id.
        granted: numbers of the begins that were granted, for each turn in ``reserved``. No decision
            here depends on them, so replicas without them agree in all other fields.
        closed: ids of the most recently finished turns, oldest first.
        expires_ms: time of the log's clock until which the program is stored.
        runner_id: runner of its latest turn; empty if none has run yet.
        released: total tokens released to each other group.
        taken: total tokens taken over from each other group.
        shares_taken_ms: time of the log's clock at which another group's share was last taken over;
            0 if never.

    """

    spent_tokens: int = 0
    reserved: dict[str, int] = field(default_factory=dict)
    closed: dict[str, None] = field(default_factory=dict)
    expires_ms: int = 0
    runner_id: str = ""
    released: dict[int, int] = field(default_factory=dict)
    taken: dict[int, int] = field(default_factory=dict)
    shares_taken_ms: int = 0
    granted: dict[str, set[int]] = field(default_factory=dict)

    @property
    def reserved_tokens(self) -> int:
        """Maximum tokens of all running turns."""
        return sum(self.reserved.values())

    @property
    def used_tokens(self) -> int:
        """Spent and reserved tokens."""
        return self.spent_tokens + self.reserved_tokens

    def available_tokens(self, budget_tokens: int, group_id: int, num_groups: int) -> int:
        """Return the group's tokens of a budget that are neither spent nor reserved."""
        held = initial_share(budget_tokens, group_id, num_groups)
        held += sum(self.taken.values()) - sum(self.released.values())
        return held - self.used_tokens

    def can_reserve(self, begin: wire.BeginTurn, group_id: int, num_turns: int = 1) -> bool:
        """Return whether the group's share suffices for ``num_turns`` more turns like this one."""
        if not begin.has_budget:
            return True
        available = self.available_tokens(begin.budget_tokens, group_id, begin.num_groups)
        return available >= num_turns * begin.most_tokens

    def reserve(self, begin: wire.BeginTurn, group_id: int) -> bool:
        """Reserve a turn's maximum tokens; ``False`` if the group's share does not suffice."""
        if not self.can_reserve(begin, group_id):
            return False
        self.reserved[begin.turn_id] = begin.most_tokens
        return True

    def note_granted(self, begin: wire.BeginTurn) -> None:
        """Record which begin was granted; a turn may have several."""
        self.granted.setdefault(begin.turn_id, set()).add(begin.proposal)

    def has_headroom(self, begin: wire.BeginTurn, group_id: int, num_turns: int) -> bool:
        """Return whether turns that begin concurrently are unlikely to exhaust the share.

        Until the other groups' shares have been taken over, this group's share need only suffice
        for the turn itself: if it runs short, theirs are taken over.
        """
        if self.can_reserve(begin, group_id, num_turns):
            return True
        used = self.used_tokens + num_turns * begin.most_tokens
        may_take = begin.num_groups > 1 and not self.shares_taken_ms
        return may_take and used <= begin.budget_tokens and self.can_reserve(begin, group_id)

    def exceeds_budget(self, begin: wire.BeginTurn) -> bool:
        """Return whether the turn does not fit into the whole budget, with all groups' shares."""
        return self.used_tokens + begin.most_tokens > begin.budget_tokens

    def largest_receiver(self) -> int | None:
        """Return the group that received most of this share; ``None`` if nothing was released."""
        given = {
            group: tokens - self.taken.get(group, 0) for group, tokens in self.released.items()
        }
        best = max(sorted(given), key=lambda group: given[group], default=None)
        return best if best is not None and given[best] > 0 else None

    def release(self, request: wire.ReleaseShare, group_id: int) -> int:
        """Release all available tokens; return the total released to the requesting group."""
        available = self.available_tokens(request.budget_tokens, group_id, request.num_groups)
        released = self.released.get(request.to_group, 0) + max(0, available)
        self.released[request.to_group] = released
        return released

    def take_over_share(self, share: wire.TakeShare) -> None:
        """Count tokens released by another group; totals only rise, so repeats count once."""
        known = self.taken.get(share.from_group, 0)
        self.taken[share.from_group] = max(known, share.released_tokens)

    def close(self, turn_id: str) -> None:
        """Remove a turn's reservation and record the turn as finished."""
        self.reserved.pop(turn_id, None)
        self.granted.pop(turn_id, None)
        self.closed[turn_id] = None
        if len(self.closed) > MAX_CLOSED_TURNS:
            del self.closed[next(iter(self.closed))]

    def to_wire(self, tenant: str, program_id: str) -> wire.ProgramBudget:
        """Return the snapshot message."""
        return wire.ProgramBudget(
            tenant=tenant,
            program_id=program_id,
            spent_tokens=self.spent_tokens,
            reserved=[self._reservation(turn_id) for turn_id in self.reserved],
            expires_ms=self.expires_ms,
            closed_turns=list(self.closed),
            runner_id=self.runner_id,
            shares=[self._share(group) for group in sorted({*self.released, *self.taken})],
            asked_ms=self.shares_taken_ms,
        )

    def _reservation(self, turn_id: str) -> wire.Reservation:
        granted = self.granted.get(turn_id, set())
        is_known = UNNUMBERED not in granted
        return wire.Reservation(
            turn_id=turn_id,
            tokens=self.reserved[turn_id],
            proposals=sorted(granted) if is_known else [],
        )

    def _share(self, group: int) -> wire.GroupShare:
        return wire.GroupShare(
            group=group,
            released_tokens=self.released.get(group, 0),
            taken_tokens=self.taken.get(group, 0),
        )

    @classmethod
    def from_wire(cls, row: wire.ProgramBudget) -> "ProgramBudget":
        """Read a snapshot message; one without shares is from a turn log with one group."""
        return cls(
            row.spent_tokens,
            {entry.turn_id: entry.tokens for entry in row.reserved},
            dict.fromkeys(row.closed_turns),
            row.expires_ms,
            row.runner_id,
            {share.group: share.released_tokens for share in row.shares if share.released_tokens},
            {share.group: share.taken_tokens for share in row.shares if share.taken_tokens},
            row.asked_ms,
            {entry.turn_id: set(entry.proposals) or {UNNUMBERED} for entry in row.reserved},
        )
