"""Which group of the turn log a node asks for a turn. Pure.

A hint: every group answers for itself, and one that does not hold a program or a turn says so.
"""

from collections import OrderedDict
from dataclasses import dataclass, field

from bendshed.placement.groups import ONE_GROUP, TurnGroups
from bendshed.turns.methods import Owned

MAX_KNOWN = 4096
"""Programs and turns remembered away from home; some 300 bytes each."""


@dataclass(slots=True)
class GroupLocator:
    """Programs and kept turns that are not where this node would look first.

    Attributes:
        groups: all groups.
        home: the group of this node's region.

    """

    groups: TurnGroups = ONE_GROUP
    home: int = 0
    _programs: "OrderedDict[Owned, int]" = field(default_factory=OrderedDict)
    _turns: "OrderedDict[Owned, int]" = field(default_factory=OrderedDict)

    def num_groups(self, tenant: str) -> int:
        """Groups between which a budget is shared: all of a tenant's is in one."""
        return 1 if tenant else self.groups.count

    def group_of(self, tenant: str, program_id: str, previous_turn: str) -> int:
        """The group to ask first: the tenant's, that of the turn before, the program's, home."""
        if tenant:
            return self.groups.of_tenant(tenant)
        known = self._turns.get((tenant, previous_turn)) if previous_turn else None
        if known is None:
            known = self._programs.get((tenant, program_id))
        return known if known is not None else self.home

    def others(self, tenant: str, group: int) -> list[int]:
        """Further groups that may keep a turn which the asked one does not know."""
        return [] if tenant else self.groups.others(group)

    def note_program(self, tenant: str, program_id: str, group: int) -> None:
        """A turn of the program was granted there."""
        self._note(self._programs, (tenant, program_id), group)

    def note_turn(self, tenant: str, turn_id: str, group: int) -> None:
        """A turn is kept there."""
        self._note(self._turns, (tenant, turn_id), group)

    def _note(self, known: "OrderedDict[Owned, int]", owned: Owned, group: int) -> None:
        """Remember what is away from home; the longest untouched is forgotten first."""
        known.pop(owned, None)
        if owned[0] or group == self.home:
            return
        known[owned] = group
        if len(known) > MAX_KNOWN:
            known.popitem(last=False)
