"""Chooses the turn log group that a node contacts first for a turn; performs no I/O.

The choice is a hint: a group that does not hold a program's budget or a turn replies so, and the
node contacts another group. Source: docs/design/0012.
"""

from collections import OrderedDict
from dataclasses import dataclass, field

from bendshed.placement.groups import ONE_GROUP, TurnGroups
from bendshed.turns.methods import TenantScopedId

MAX_REMEMBERED_ENTRIES = 4096
"""Maximum number of programs, and of turns, remembered in groups other than the home group; about
300 bytes each."""


@dataclass(slots=True)
class GroupLocator:
    """Remembers programs and stored turns that are not in this node's home group.

    Attributes:
        groups: all groups.
        home: the group of this node's region.

    """

    groups: TurnGroups = ONE_GROUP
    home: int = 0
    _programs: "OrderedDict[TenantScopedId, int]" = field(default_factory=OrderedDict)
    _turns: "OrderedDict[TenantScopedId, int]" = field(default_factory=OrderedDict)

    def num_groups(self, tenant: str) -> int:
        """Return how many groups share a program's budget; a tenant's budget is in one group."""
        return 1 if tenant else self.groups.count

    def group_of(self, tenant: str, program_id: str, previous_turn: str) -> int:
        """Return the group to contact first: of the tenant, previous turn or program, else home."""
        if tenant:
            return self.groups.home_group_of_tenant(tenant)
        known = self._turns.get((tenant, previous_turn)) if previous_turn else None
        if known is None:
            known = self._programs.get((tenant, program_id))
        return known if known is not None else self.home

    def others(self, tenant: str, group: int) -> list[int]:
        """Return further groups that may store a turn if ``group`` does not."""
        return [] if tenant else self.groups.other_ids(group)

    def record_program(self, tenant: str, program_id: str, group: int) -> None:
        """Record that a group has granted a turn of the program."""
        self._record(self._programs, (tenant, program_id), group)

    def record_turn(self, tenant: str, turn_id: str, group: int) -> None:
        """Record that a group has stored a turn."""
        self._record(self._turns, (tenant, turn_id), group)

    def _record(
        self, known: "OrderedDict[TenantScopedId, int]", scoped_id: TenantScopedId, group: int
    ) -> None:
        """Record an entry outside the home group; the least recently recorded is dropped first."""
        known.pop(scoped_id, None)
        if scoped_id[0] or group == self.home:
            return
        known[scoped_id] = group
        if len(known) > MAX_REMEMBERED_ENTRIES:
            known.popitem(last=False)
