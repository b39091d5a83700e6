"""Planted defects that the search for silent connections must find."""

from collections.abc import Callable, Iterator
from contextlib import AbstractContextManager, contextmanager
from dataclasses import replace
from unittest import mock

from bendshed.catalog.times import HISTORY_SHARE
from bendshed.rehearsal.site import silence_world, sim_world


@contextmanager
def wait_as_long_as_history_lasts() -> Iterator[None]:
    """Watches wait for most of the time for which the registry keeps changes."""
    times = replace(sim_world.TIMES, idle_wait_s=HISTORY_SHARE * sim_world.HISTORY_S)
    with (
        mock.patch.object(sim_world, "TIMES", times),
        mock.patch.object(silence_world, "TIMES", times),
    ):
        yield


DEFECTS: dict[str, Callable[[], AbstractContextManager[object]]] = {
    "watches wait as long as history lasts": wait_as_long_as_history_lasts,
}
