"""Object API and machine list over HTTP.

Objects are resources with an ``ETag`` (their version) and conditional writes (RFC 9110,
``If-Match`` and ``If-None-Match``); a watch is a list request that waits (long polling).
"""

import asyncio
import base64
from urllib.parse import quote, urlencode

import msgspec
import orjson

from bendshed.adapters.http import CONNECTION_ERRORS, HttpAnswer, HttpClient
from bendshed.logs import PartLog
from bendshed.ports.store import (
    Machine,
    MachineList,
    ObjectStore,
    StoredObject,
    StoreSilent,
    StoreUnavailable,
    VersionConflict,
)

CALL_TIMEOUT_S = 5.0
WATCH_MARGIN_S = 2.0
"""A watch without an answer this long after the end of its wait is given up."""
MAX_IDLE_S = 1.0
"""Idle time after which the client of the store does not reuse a connection: it may have become
silent, which only an unanswered call shows."""

ANSWER_ERRORS = (KeyError, ValueError, TypeError)
"""What reading an answer of another form raises."""
MAX_LOGGED_ENTRIES = 5

log = PartLog("machines")


class HttpObjectStore(ObjectStore):
    """The platform's object API at ``base_url``.

    A call without a complete answer in time raises ``StoreSilent``, since its connection may be
    silent without being closed.
    """

    def __init__(self, client: HttpClient, base_url: str) -> None:
        self._client = client
        self._base_url = base_url.rstrip("/")

    async def get(self, key: str) -> StoredObject | None:
        """Return an object, or ``None`` if it is absent."""
        answer = await _send(self._client, "GET", self._url(key))
        if answer.status == 404:
            return None
        _expect(answer, 200)
        return StoredObject(key, _version(answer), answer.body)

    async def create(self, key: str, content: bytes) -> StoredObject:
        """Create an object that must not exist."""
        return await self._put(key, content, {"If-None-Match": "*"})

    async def replace(self, key: str, content: bytes, expected_version: int) -> StoredObject:
        """Compare-and-swap by version."""
        return await self._put(key, content, {"If-Match": f'"{expected_version}"'})

    async def _put(self, key: str, content: bytes, condition: dict[str, str]) -> StoredObject:
        answer = await _send(self._client, "PUT", self._url(key), content, condition)
        if answer.status == 412:
            raise VersionConflict(key)
        _expect(answer, 200)
        return StoredObject(key, _version(answer), content)

    async def list_after(self, prefix: str, after_key: str) -> list[StoredObject]:
        """Return the objects under the prefix after ``after_key``."""
        return await self._list(prefix, after_key, 0.0, CALL_TIMEOUT_S)

    async def watch(self, prefix: str, after_key: str, wait_s: float) -> list[StoredObject]:
        """Like ``list_after``, but wait up to ``wait_s`` seconds for the first such object."""
        return await self._list(prefix, after_key, wait_s, wait_s + WATCH_MARGIN_S)

    async def _list(
        self, prefix: str, after_key: str, wait_s: float, timeout_s: float
    ) -> list[StoredObject]:
        query = urlencode({"prefix": prefix, "after": after_key, "wait": wait_s})
        url = f"{self._base_url}/objects?{query}"
        answer = await _send(self._client, "GET", url, timeout_s=timeout_s)
        _expect(answer, 200)
        try:
            return [
                StoredObject(str(row["key"]), int(row["version"]), base64.b64decode(row["content"]))
                for row in orjson.loads(answer.body)["objects"]
            ]
        except ANSWER_ERRORS as error:
            raise StoreUnavailable(f"unexpected answer: {error!r}") from error

    def _url(self, key: str) -> str:
        return f"{self._base_url}/objects/{quote(key, safe='')}"


class HttpMachineList(MachineList):
    """The platform's machine list at ``base_url``."""

    def __init__(self, client: HttpClient, base_url: str) -> None:
        self._client = client
        self._base_url = base_url.rstrip("/")
        self._unreadable: list[str] = []

    async def read(self) -> list[Machine]:
        """Return all machines, without entries that cannot be used."""
        answer = await _send(self._client, "GET", f"{self._base_url}/machines")
        _expect(answer, 200)
        try:
            rows = list(orjson.loads(answer.body)["machines"])
        except ANSWER_ERRORS as error:
            raise StoreUnavailable(f"unexpected answer: {error!r}") from error
        machines, unreadable = [], []
        for row in rows:
            try:
                machines.append(msgspec.convert(row, Machine))
            except msgspec.ValidationError as error:
                unreadable.append(str(error))
        if unreadable != self._unreadable:
            self._unreadable = unreadable
            shown = unreadable[:MAX_LOGGED_ENTRIES]
            log.say("machines ignored: unreadable", count=len(unreadable), reasons=shown)
        return machines


async def _send(
    client: HttpClient,
    method: str,
    url: str,
    content: bytes | None = None,
    headers: dict[str, str] | None = None,
    timeout_s: float | None = None,
) -> HttpAnswer:
    limit_s = CALL_TIMEOUT_S if timeout_s is None else timeout_s
    try:
        async with asyncio.timeout(limit_s):
            return await client.send(method, url, content, headers)
    except TimeoutError as error:
        raise StoreSilent(f"{method} {url}: no answer in {limit_s:.1f} s") from error
    except CONNECTION_ERRORS as error:
        raise StoreUnavailable(repr(error)) from error


def _expect(answer: HttpAnswer, status: int) -> None:
    if answer.status != status:
        raise StoreUnavailable(f"status {answer.status}")


def _version(answer: HttpAnswer) -> int:
    tag = answer.headers.get("ETag")
    if tag is None:
        raise StoreUnavailable("an answer without ETag")
    return int(tag.strip('"'))
