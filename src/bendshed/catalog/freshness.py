"""Tracks whether a node's catalog is fresh, so that it need not read the registry itself."""

import asyncio
from collections.abc import Callable

from bendshed.catalog.upstream import Upstream
from bendshed.logs import PartLog

log = PartLog("catalog")


class Freshness:
    """Sets ``Upstream.is_fresh`` and clears it when no fresh update follows in time.

    Attributes:
        on_change: called after each change.

    """

    def __init__(self, upstream: Upstream) -> None:
        self.on_change: list[Callable[[], None]] = []
        self._upstream = upstream
        self._expiry: asyncio.TimerHandle | None = None

    def renew(self, for_s: float) -> None:
        """Mark the catalog as fresh for a time in seconds."""
        self._cancel_expiry()
        self._expiry = asyncio.get_running_loop().call_later(for_s, self._set, False)
        self._set(True)

    def end(self) -> None:
        """Mark the catalog as not fresh."""
        self._cancel_expiry()
        self._set(False)

    def _cancel_expiry(self) -> None:
        if self._expiry is not None:
            self._expiry.cancel()

    def _set(self, is_fresh: bool) -> None:
        if is_fresh == self._upstream.is_fresh:
            return
        self._upstream.is_fresh = is_fresh
        log.say(
            "fresh: another machine reads the registry"
            if is_fresh
            else "not fresh: this node reads the registry itself"
        )
        for on_change in self.on_change:
            on_change()
