"""Client of the platform's metadata store: objects by kind and name, watches."""

import asyncio
from collections.abc import Callable
from typing import Any, TypeVar
from urllib.parse import quote

import orjson

from bendshed.adapters.connection_pool import ConnectionPool
from bendshed.model.address import Address
from bendshed.platform import names
from bendshed.ports.http_messages import ClientRequest, ConnectFailed, ResponseBroken
from bendshed.ports.objects import (
    MAX_IDLE_S,
    WATCH_MARGIN_S,
    HistoryExpired,
    ObjectEvent,
    ObjectEvents,
    ObjectList,
    ObjectSource,
    StoredObject,
)
from bendshed.ports.runner_connections import read_body
from bendshed.ports.store import StoreSilent, StoreUnavailable, VersionConflict

CALL_TIMEOUT_S = 1.0
CONNECT_TIMEOUT_S = 0.5
ANSWER_ERRORS = (KeyError, ValueError, TypeError, AttributeError)
"""What reading an answer of another form raises."""
MAX_ANSWER_BYTES = 8 * 1024 * 1024
"""Several pages of a list, which hold about 1 MB, or as many changes of the largest objects."""
JSON_TYPE = (b"content-type", b"application/json")

ReadT = TypeVar("ReadT")


class ObjectApi(ObjectSource):
    """Client of the store; each call raises ``StoreUnavailable`` without a valid answer in time.

    Attributes:
        num_calls: number of calls since start.

    """

    def __init__(self, address: Address, call_timeout_s: float = CALL_TIMEOUT_S) -> None:
        self.num_calls = 0
        self._address = address
        self._call_timeout_s = call_timeout_s
        self._pool = ConnectionPool(CONNECT_TIMEOUT_S, MAX_IDLE_S)

    def close(self) -> None:
        """Close idle connections."""
        self._pool.close()

    async def get(self, kind: str, name: str) -> StoredObject | None:
        """Read one object; ``None`` if it does not exist."""
        path = _path(kind, name)
        status, content = await self._call(b"GET", path, None, self._call_timeout_s)
        return None if status == 404 else _read_answer(path, _read_object, content)

    async def list(self, kind: str, may_be_stale: bool = False) -> ObjectList:
        """Read all objects of a kind, page by page.

        ``revision`` is that of the first page, since its objects may change while later pages
        are read. ``may_be_stale``: the answer may be seconds old and costs a tenth.
        """
        items: list[StoredObject] = []
        first_page_revision: int | None = None
        after = ""
        while True:
            parameters = [f"after={quote(after, safe='')}"] if after else []
            parameters += [names.STALE] if may_be_stale else []
            query = f"?{'&'.join(parameters)}" if parameters else ""
            target = _path(kind) + query
            _, content = await self._call(b"GET", target, None, self._call_timeout_s)
            page, has_more = _read_answer(target, _read_page, content)
            items.extend(page.items)
            if first_page_revision is None:
                first_page_revision = page.revision
            if not has_more or not items:
                return ObjectList(items, first_page_revision)
            after = items[-1].name

    async def watch(self, kind: str, after_revision: int, wait_s: float) -> ObjectEvents:
        """Wait for changes after a revision; raise ``HistoryExpired`` if they are discarded."""
        target = f"{_path(kind)}?watch={after_revision}&{names.WAIT_MS}={int(wait_s * 1000)}"
        status, content = await self._call(b"GET", target, None, wait_s + WATCH_MARGIN_S)
        if status == 410:
            raise HistoryExpired(kind)
        return _read_answer(target, _read_events, content)

    async def create(self, kind: str, name: str, spec: Any) -> StoredObject:
        """Create an object; raise ``VersionConflict`` if it exists."""
        body = {"meta": {"name": name}, "spec": spec}
        status, content = await self._call(b"POST", _path(kind), body, self._call_timeout_s)
        if status == 409:
            raise VersionConflict(f"{kind}/{name} exists")
        return _read_answer(_path(kind), _read_object, content)

    async def replace(self, kind: str, name: str, spec: Any) -> bool:
        """Replace the spec unconditionally; ``False`` if the object does not exist."""
        body = {"meta": {"name": name}, "spec": spec}
        status, _ = await self._call(b"PUT", _path(kind, name), body, self._call_timeout_s)
        return status != 404

    async def replace_status(self, kind: str, name: str, content: Any) -> bool:
        """Replace the status; ``False`` if the object does not exist."""
        body = {"meta": {"name": name}, "status": content}
        path = _path(kind, name) + "/status"
        status, _ = await self._call(b"PUT", path, body, self._call_timeout_s)
        return status != 404

    async def _call(
        self, method: bytes, target: str, body: Any, timeout_s: float
    ) -> tuple[int, Any]:
        self.num_calls += 1
        content = orjson.dumps(body) if body is not None else b""
        headers = [(b"host", str(self._address).encode())]
        if content:
            headers.append(JSON_TYPE)
        request = ClientRequest(method, target.encode(), headers, content, lambda _head: True)
        try:
            async with asyncio.timeout(timeout_s):
                status, answer = await self._exchange(request)
        except TimeoutError as error:
            # Pooled connections stall together; each would cost another call its full timeout.
            self._pool.close_idle(self._address)
            raise StoreSilent(f"{method.decode()} {target}: {error!r}") from error
        except (ConnectFailed, ResponseBroken) as error:
            raise StoreUnavailable(f"{method.decode()} {target}: {error!r}") from error
        if status in (200, 201, 404, 409, 410):
            try:
                return status, orjson.loads(answer) if answer else {}
            except orjson.JSONDecodeError as error:
                raise StoreUnavailable(f"{target}: no JSON in the answer") from error
        raise StoreUnavailable(f"{method.decode()} {target}: status {status}")

    async def _exchange(self, request: ClientRequest) -> tuple[int, bytes]:
        connection = await self._pool.acquire(self._address)
        is_complete = False
        try:
            head = await connection.send(request)
            answer = await read_body(connection, MAX_ANSWER_BYTES)
            is_complete = True
            return head.status, answer
        finally:
            if is_complete:
                connection.finish()
            else:
                connection.abort()
            self._pool.release(self._address, connection)


def _path(kind: str, name: str = "") -> str:
    path = f"/objects/{quote(kind, safe='')}"
    return f"{path}/{quote(name, safe='')}" if name else path


def _read_object(content: Any) -> StoredObject:
    meta = content["meta"]
    return StoredObject(
        str(meta["name"]), int(meta.get("rev", 0)), content.get("spec"), content.get("status")
    )


def _read_page(content: Any) -> tuple[ObjectList, bool]:
    """One page of a list, and whether more follow."""
    items = [_read_object(row) for row in content["items"]]
    return ObjectList(items, int(content["at"])), bool(content.get(names.HAS_MORE))


def _read_events(content: Any) -> ObjectEvents:
    revision = int(content["at"])
    events = [
        ObjectEvent(_read_object(row["object"]), bool(row["gone"]), revision)
        for row in content["events"]
    ]
    return ObjectEvents(events, revision)


def _read_answer(target: str, read: Callable[[Any], ReadT], content: Any) -> ReadT:
    """Read an answer; raise ``StoreUnavailable`` if it is none that this call may get."""
    try:
        return read(content)
    except ANSWER_ERRORS as error:
        raise StoreUnavailable(f"{target}: unexpected answer: {error!r}") from error
