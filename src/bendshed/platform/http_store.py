"""Object API and machine list over HTTP.

Objects are resources with an ``ETag`` (their version) and conditional writes (RFC 9110,
``If-Match`` and ``If-None-Match``); a watch is a listing that waits.
"""

import base64
from urllib.parse import quote

import orjson
from blacksheep import Content, Response
from blacksheep.client import ClientSession

from bendshed.platform.http import CONNECTION_ERRORS
from bendshed.ports.store import (
    Machine,
    MachineList,
    ObjectStore,
    StoredObject,
    StoreUnavailable,
    VersionConflict,
)

OCTETS = b"application/octet-stream"


class HttpObjectStore(ObjectStore):
    """The platform's object API at ``base_url``."""

    def __init__(self, client: ClientSession, base_url: str) -> None:
        self._client = client
        self._base_url = base_url.rstrip("/")

    async def get(self, key: str) -> StoredObject | None:
        """Read one object."""
        try:
            response = await self._client.get(self._url(key))
            content = await response.read() or b""
        except CONNECTION_ERRORS as error:
            raise StoreUnavailable(repr(error)) from error
        if response.status == 404:
            return None
        _expect(response, 200)
        return StoredObject(key, _version(response), content)

    async def create(self, key: str, content: bytes) -> StoredObject:
        """Create an object that must not exist."""
        return await self._put(key, content, (b"If-None-Match", b"*"))

    async def replace(self, key: str, content: bytes, expected_version: int) -> StoredObject:
        """Compare-and-swap by version."""
        return await self._put(key, content, (b"If-Match", f'"{expected_version}"'.encode()))

    async def _put(self, key: str, content: bytes, condition: tuple[bytes, bytes]) -> StoredObject:
        try:
            response = await self._client.put(
                self._url(key), Content(OCTETS, content), headers=[condition]
            )
            await response.read()
        except CONNECTION_ERRORS as error:
            raise StoreUnavailable(repr(error)) from error
        if response.status == 412:
            raise VersionConflict(key)
        _expect(response, 200)
        return StoredObject(key, _version(response), content)

    async def list_after(self, prefix: str, after_key: str) -> list[StoredObject]:
        """Objects under the prefix after ``after_key``."""
        return await self.watch(prefix, after_key, 0.0)

    async def watch(self, prefix: str, after_key: str, wait_s: float) -> list[StoredObject]:
        """Wait for the first such object."""
        parameters = {"prefix": prefix, "after": after_key, "wait": str(wait_s)}
        try:
            response = await self._client.get(f"{self._base_url}/objects", params=parameters)
            content = await response.read() or b""
        except CONNECTION_ERRORS as error:
            raise StoreUnavailable(repr(error)) from error
        _expect(response, 200)
        return [
            StoredObject(row["key"], row["version"], base64.b64decode(row["content"]))
            for row in orjson.loads(content)["objects"]
        ]

    def _url(self, key: str) -> str:
        return f"{self._base_url}/objects/{quote(key, safe='')}"


class HttpMachineList(MachineList):
    """The platform's machine list at ``base_url``."""

    def __init__(self, client: ClientSession, base_url: str) -> None:
        self._client = client
        self._base_url = base_url.rstrip("/")

    async def read(self) -> list[Machine]:
        """All machines."""
        try:
            response = await self._client.get(f"{self._base_url}/machines")
            content = await response.read() or b""
        except CONNECTION_ERRORS as error:
            raise StoreUnavailable(repr(error)) from error
        _expect(response, 200)
        return [Machine(**row) for row in orjson.loads(content)["machines"]]


def _expect(response: Response, status: int) -> None:
    if response.status != status:
        raise StoreUnavailable(f"status {response.status}")


def _version(response: Response) -> int:
    tag = response.get_first_header(b"ETag")
    if tag is None:
        raise StoreUnavailable("an answer without ETag")
    return int(tag.strip(b'"'))
