"""A stand-in of the site's metadata store: objects, pages, watches, a history that may be lost."""

import asyncio
import contextlib
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

from blacksheep import Application, Request, Response, Router, json

from bendshed.adapters.http import add_route
from bendshed.platform import names
from bendshed.rehearsal.site.registry_faults import SLOW_S, FaultMode, RegistryFault, mode_of

PAGE = 500
CONFLICT, MISSING, GONE, TOO_MANY, BROKEN, DOWN = 409, 404, 410, 429, 500, 503


@dataclass(slots=True)
class StoredRow:
    """One object."""

    name: str
    revision: int
    created: int
    spec: Any = None
    status: Any = None

    def to_json(self) -> dict[str, Any]:
        """The object as it goes on the wire."""
        meta = {
            "name": self.name,
            "rev": self.revision,
            "created": self.created,
            "finalizers": [],
            "deleting": False,
        }
        return {"meta": meta, "spec": self.spec, "status": self.status}


@dataclass(slots=True)
class MetadataModel:
    """Objects by kind and name under one rising revision.

    Attributes:
        history: changes since ``history_from``: revision, kind, object, whether it is gone.
        is_down: every call is answered 503.
        calls_left: calls until further ones are refused with 429; ``None``: no bound.
        page: objects on one page of a list.
        lose_answers: this many further writes are done, and their connections fall silent.
        delay_writes: this many further writes are done only at ``do_late_writes``, unanswered.
        on_page: called after each page of a list is read.
        faults: troubles of some kinds or machines.
        num_calls: reading calls by machine and kind, struck ones included.

    """

    revision: int = 0
    kinds: dict[str, dict[str, StoredRow]] = field(default_factory=dict)
    history: list[tuple[int, str, dict[str, Any], bool]] = field(default_factory=list)
    history_from: int = 0
    is_down: bool = False
    calls_left: int | None = None
    page: int = PAGE
    lose_answers: int = 0
    delay_writes: int = 0
    on_page: Callable[[], None] = lambda: None
    faults: list[RegistryFault] = field(default_factory=list)
    num_calls: "Counter[tuple[str, str]]" = field(default_factory=Counter)
    late_writes: list[Callable[[], Response]] = field(default_factory=list)
    changed: asyncio.Event = field(default_factory=asyncio.Event)

    def put(self, kind: str, name: str, spec: Any) -> StoredRow:
        """Create or replace the spec."""
        rows = self.kinds.setdefault(kind, {})
        row = rows.get(name)
        self.revision += 1
        if row is None:
            row = rows[name] = StoredRow(name, self.revision, self.revision)
        row.spec, row.revision = spec, self.revision
        self._note(kind, row, False)
        return row

    def put_status(self, kind: str, name: str, status: Any) -> StoredRow:
        """Replace the status of an object that exists."""
        row = self.kinds[kind][name]
        self.revision += 1
        row.status, row.revision = status, self.revision
        self._note(kind, row, False)
        return row

    def delete(self, kind: str, name: str) -> None:
        """Remove an object."""
        row = self.kinds[kind].pop(name)
        self.revision += 1
        row.revision = self.revision
        self._note(kind, row, True)

    def do_late_writes(self) -> None:
        """Do what was delayed, where its condition still holds."""
        late, self.late_writes = self.late_writes, []
        for write in late:
            write()

    def forget_history(self) -> None:
        """Watches from before must list again."""
        self.history.clear()
        self.history_from = self.revision
        self.wake()

    def _note(self, kind: str, row: StoredRow, is_gone: bool) -> None:
        self.history.append((self.revision, kind, row.to_json(), is_gone))
        self.wake()

    def wake(self) -> None:
        """Wake the watches that wait."""
        self.changed.set()
        self.changed = asyncio.Event()

    def events(self, kind: str, since: int) -> list[dict[str, Any]]:
        """Changes of a kind after a revision."""
        return [
            {"object": content, "gone": is_gone}
            for revision, changed_kind, content, is_gone in self.history
            if changed_kind == kind and revision > since
        ]


class MetadataServer:
    """HTTP in front of a model; ``machine``: the one whose calls arrive here, if known."""

    def __init__(self, model: MetadataModel, machine: str = "") -> None:
        self.model = model
        self._machine = machine

    def application(self) -> Application:
        """Return the application."""
        application = Application(router=Router())  # else all applications share one
        for method, path, handler in (
            ("GET", "/objects/{kind}", self._list),
            ("POST", "/objects/{kind}", self._create),
            ("GET", "/objects/{kind}/{name}", self._get),
            ("PUT", "/objects/{kind}/{name}", self._replace),
            ("DELETE", "/objects/{kind}/{name}", self._delete),
            ("PUT", "/objects/{kind}/{name}/status", self._replace_status),
        ):
            add_route(application, method, path, handler)
        return application

    def _refusal(self) -> Response | None:
        model = self.model
        if model.is_down:
            return json({}, DOWN)
        if model.calls_left is not None:
            if model.calls_left == 0:
                return json({}, TOO_MANY)
            model.calls_left -= 1
        return None

    async def _struck_answer(self, request: Request, kind: str) -> Response | None:
        """What a struck call is answered; ``None``: as if nothing were wrong, though maybe late."""
        match mode_of(self.model.faults, self._machine, kind):
            case FaultMode.REFUSED:
                return json({}, DOWN)
            case FaultMode.THROTTLED:
                return json({}, TOO_MANY)
            case FaultMode.RESET:
                return json({}, BROKEN)  # the server cannot reset the connection of one call
            case FaultMode.SILENT:
                return await _never()
            case FaultMode.SLOW:
                await asyncio.sleep(SLOW_S)
            case FaultMode.ODD:
                return json(["items", None])
            case FaultMode.LATER_PAGES if _query(request, "after"):
                return json({}, TOO_MANY)
        return None

    async def _list(self, request: Request) -> Response:
        kind = _part(request, "kind")
        self.model.num_calls[self._machine, kind] += 1
        refusal = self._refusal() or await self._struck_answer(request, kind)
        if refusal is not None:
            return refusal
        since = _query(request, "watch")
        if since:
            return await self._watch(kind, int(since), int(_query(request, names.WAIT_MS) or 0))
        rows = sorted(self.model.kinds.get(kind, {}).items())
        after = _query(request, "after")
        later = [row.to_json() for name, row in rows if name > after]
        answer = json(
            {
                "items": later[: self.model.page],
                names.HAS_MORE: len(later) > self.model.page,
                "at": self.model.revision,
            }
        )
        self.model.on_page()
        return answer

    async def _watch(self, kind: str, since: int, wait_ms: int) -> Response:
        model = self.model
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(wait_ms / 1000):
                while since >= model.history_from and not model.events(kind, since):
                    await model.changed.wait()
        if since < model.history_from:
            return json({}, GONE)
        return json({"events": model.events(kind, since), "at": model.revision})

    async def _get(self, request: Request) -> Response:
        refusal = self._refusal()
        if refusal is not None:
            return refusal
        row = self.model.kinds.get(_part(request, "kind"), {}).get(_part(request, "name"))
        if row is None:
            return json({"at": self.model.revision}, MISSING)
        return json(row.to_json())

    async def _create(self, request: Request) -> Response:
        content = await request.json()
        kind = _part(request, "kind")
        return await self._write(lambda: self._do_create(kind, content))

    def _do_create(self, kind: str, content: Any) -> Response:
        name = content["meta"]["name"]
        known = self.model.kinds.get(kind, {}).get(name)
        if known is not None:
            return json(known.to_json(), CONFLICT)
        return json(self.model.put(kind, name, content.get("spec")).to_json())

    async def _replace(self, request: Request) -> Response:
        return await self._change(request, "spec")

    async def _replace_status(self, request: Request) -> Response:
        return await self._change(request, "status")

    async def _change(self, request: Request, part: str) -> Response:
        content = await request.json()
        kind, name = _part(request, "kind"), _part(request, "name")
        return await self._write(lambda: self._do_change(kind, name, part, content))

    def _do_change(self, kind: str, name: str, part: str, content: Any) -> Response:
        known = self.model.kinds.get(kind, {}).get(name)
        if known is None:
            return json({"at": self.model.revision}, MISSING)
        wanted = content.get("meta", {}).get("rev")
        if wanted is not None and wanted != known.revision:
            return json(known.to_json(), CONFLICT)
        change = self.model.put if part == "spec" else self.model.put_status
        return json(change(kind, name, content.get(part)).to_json())

    async def _delete(self, request: Request) -> Response:
        kind, name = _part(request, "kind"), _part(request, "name")
        return await self._write(lambda: self._do_delete(kind, name))

    def _do_delete(self, kind: str, name: str) -> Response:
        if name not in self.model.kinds.get(kind, {}):
            return json({"at": self.model.revision}, MISSING)
        self.model.delete(kind, name)
        return json({})

    async def _write(self, write: Callable[[], Response]) -> Response:
        """Do a write, now or late, and answer it, unless that is the trouble."""
        refusal = self._refusal()
        if refusal is not None:
            return refusal
        if self.model.delay_writes > 0:
            self.model.delay_writes -= 1
            self.model.late_writes.append(write)
            return await _never()
        answer = write()
        if self.model.lose_answers > 0:
            self.model.lose_answers -= 1
            return await _never()
        return answer


async def _never() -> Response:
    """A connection that falls silent."""
    await asyncio.Event().wait()
    raise AssertionError


def _part(request: Request, name: str) -> str:
    parts = request.route_values or {}
    return str(parts[name])


def _query(request: Request, name: str) -> str:
    values = request.query.get(name)
    return values[0] if values else ""
