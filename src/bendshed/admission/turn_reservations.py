"""Decisions of a leader on turns that are not committed yet. Pure."""

from collections import OrderedDict
from dataclasses import dataclass, field

RESERVATION_MS = 2_000
"""A reservation is dropped after this time: the requesting node gives up after 1.5 s."""


@dataclass(frozen=True, slots=True)
class AdmissionDecision:
    """The decision on one request.

    Attributes:
        used: requests counted against the limit, including reservations and allowances.
        num_allowed: part of ``used`` that nodes hold as allowances or have not reported yet.
        retry_after_ms: time until there may be room; 0 if admitted.

    """

    is_granted: bool
    used: int
    num_allowed: int = 0
    retry_after_ms: int = 0


@dataclass(slots=True)
class _ReservedTurn:
    admission: AdmissionDecision
    tenant: str
    at_ms: int
    is_reserved: bool


@dataclass(slots=True)
class TurnReservations:
    """Decisions of one term by turn; an admitted turn holds a place until it is settled.

    Times are of the log's clock and never decrease, so the oldest decision comes first.

    """

    _decided: "OrderedDict[str, _ReservedTurn]" = field(default_factory=OrderedDict)
    _num_reserved: dict[str, int] = field(default_factory=dict)

    def clear(self) -> None:
        """Remove all decisions."""
        self._decided.clear()
        self._num_reserved.clear()

    def decision(self, turn_id: str) -> AdmissionDecision | None:
        """Return the decision on a turn; ``None`` if there is none yet."""
        known = self._decided.get(turn_id)
        return known.admission if known is not None else None

    def num_reserved(self, tenant: str) -> int:
        """Return the number of places that a tenant's turns hold."""
        return self._num_reserved.get(tenant, 0)

    def note(self, turn_id: str, tenant: str, admission: AdmissionDecision, now_ms: int) -> None:
        """Record a decision."""
        is_reserved = admission.is_granted
        self._decided[turn_id] = _ReservedTurn(admission, tenant, now_ms, is_reserved)
        if is_reserved:
            self._num_reserved[tenant] = self._num_reserved.get(tenant, 0) + 1

    def settle(self, turn_id: str) -> None:
        """Release a turn's place; the decision on it stays."""
        decision = self._decided.get(turn_id)
        if decision is not None:
            self._release(decision)

    def withdraw(self, turn_id: str) -> None:
        """Release a turn's place and drop the decision on it."""
        decision = self._decided.pop(turn_id, None)
        if decision is not None:
            self._release(decision)

    def expire(self, now_ms: int) -> None:
        """Withdraw decisions older than ``RESERVATION_MS``."""
        while self._decided:
            turn_id, decision = next(iter(self._decided.items()))
            if now_ms - decision.at_ms <= RESERVATION_MS:
                return
            self.withdraw(turn_id)

    def _release(self, decision: _ReservedTurn) -> None:
        if not decision.is_reserved:
            return
        decision.is_reserved = False
        self._num_reserved[decision.tenant] -= 1
        if not self._num_reserved[decision.tenant]:
            del self._num_reserved[decision.tenant]
