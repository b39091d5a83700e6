"""Tracks which parts of a node's catalog are fresh, so that it need not read them itself."""

import asyncio
from collections.abc import Callable, Mapping

from bendshed.catalog.parts import CatalogPart
from bendshed.catalog.upstream import Upstream
from bendshed.logs import PartLog

log = PartLog("catalog")


class Freshness:
    """Adds to ``Upstream.fresh_parts``, and removes a part when no fresh update of it follows.

    Attributes:
        on_change: called after each change.

    """

    def __init__(self, upstream: Upstream) -> None:
        self.on_change: list[Callable[[], None]] = []
        self._upstream = upstream
        self._expiries: dict[CatalogPart, asyncio.TimerHandle] = {}

    def renew(self, for_s: Mapping[CatalogPart, float]) -> None:
        """Mark parts as fresh, each for a time in seconds."""
        loop = asyncio.get_running_loop()
        for part, each_s in for_s.items():
            self._cancel_expiry(part)
            self._expiries[part] = loop.call_later(each_s, self._expire, part)
        self._set(self._upstream.fresh_parts | for_s.keys())

    def end(self) -> None:
        """Mark all parts as not fresh."""
        for part in list(self._expiries):
            self._cancel_expiry(part)
        self._set(frozenset())

    def _expire(self, part: CatalogPart) -> None:
        self._set(self._upstream.fresh_parts - {part})

    def _cancel_expiry(self, part: CatalogPart) -> None:
        expiry = self._expiries.pop(part, None)
        if expiry is not None:
            expiry.cancel()

    def _set(self, fresh_parts: frozenset[CatalogPart]) -> None:
        if fresh_parts == self._upstream.fresh_parts:
            return
        was_fresh = self._upstream.is_fresh
        self._upstream.fresh_parts = fresh_parts
        is_fresh = self._upstream.is_fresh
        if is_fresh and not was_fresh:
            log.say("fresh: another machine reads the registry", parts=sorted(fresh_parts))
        elif not is_fresh:
            log.say("not fresh: this node reads the registry itself", but=sorted(fresh_parts))
        for on_change in self.on_change:
            on_change()
