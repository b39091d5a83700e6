"""Planted defects that the search for departures must find."""

from collections.abc import Callable
from contextlib import AbstractContextManager
from unittest import mock

from bendshed.catalog.registry_outage import MAX_LAST_RESORT_S, RegistryOutage

DOUBT_S = 5.0
_REAL_NOTE_REPLY = RegistryOutage.note_reply


def _doubt_after_any_failure(outage: RegistryOutage, now_s: float) -> float:
    return MAX_LAST_RESORT_S if now_s - outage._failure_began_s < DOUBT_S else 0.0


def _take_any_failure_for_an_outage(outage: RegistryOutage, now_s: float) -> None:
    outage.max_gap_s = 0.0
    _REAL_NOTE_REPLY(outage, now_s)


DEFECTS: dict[str, Callable[[], AbstractContextManager[object]]] = {
    "removals are doubted for a while after any failed call": lambda: mock.patch.object(
        RegistryOutage, "last_resort_s", _doubt_after_any_failure
    ),
    "a cut watch is taken for an outage": lambda: mock.patch.object(
        RegistryOutage, "note_reply", _take_any_failure_for_an_outage
    ),
}
