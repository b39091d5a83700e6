"""Own interface: machines and changes that another writer put and that cannot be read."""

import asyncio
import base64
import random
import unittest
from typing import Any
from unittest import mock

import orjson

from bendshed.adapters.http import HttpAnswer, HttpClient
from bendshed.adapters.http_store import HttpMachineList, HttpObjectStore
from bendshed.configuration.service import CHANGES_PREFIX, ConfigurationService, change_key
from bendshed.errors import ErrorKind, Refusal
from bendshed.ports.store import ObjectStore, StoredObject, StoreUnavailable, VersionConflict
from bendshed.rehearsal.simulator.loop import VirtualTimeLoop

GOOD: dict[str, Any] = {
    "machine_id": "e1",
    "kind": "engine",
    "url": "http://10.0.0.1:80",
    "model": "m",
    "zone": "z",
    "leaving": False,
    "incarnation": 1,
}
ODD_ROWS: tuple[Any, ...] = (None, [], "e2", {}, {**GOOD, "url": 7}, {**GOOD, "incarnation": "x"})


class AnsweringClient(HttpClient):
    """Answers each call with the same content."""

    def __init__(self, content: Any) -> None:
        self.content = content

    async def send(self, *_arguments: Any, **_options: Any) -> HttpAnswer:
        return HttpAnswer(200, {"ETag": '"1"'}, orjson.dumps(self.content))


class UnreadableAnswersTest(unittest.IsolatedAsyncioTestCase):
    # Guards against one odd machine that ends every node which reads the list.
    async def test_odd_machine_costs_itself_alone(self) -> None:
        rows = {"machines": [*ODD_ROWS, GOOD, {**GOOD, "machine_id": "e3", "note": "new field"}]}
        machines = await HttpMachineList(AnsweringClient(rows), "http://x").read()
        self.assertEqual([machine.machine_id for machine in machines], ["e1", "e3"])

    # Guards against an answer of another form that ends the node.
    async def test_answer_of_another_form_is_no_answer(self) -> None:
        for content in (None, [], {"machines": 3, "objects": 3}, {"objects": [{"key": 1}]}):
            with self.subTest(content=content):
                client = AnsweringClient(content)
                with self.assertRaises(StoreUnavailable):
                    await HttpObjectStore(client, "http://x").list_after("p", "")
                if content != {"objects": [{"key": 1}]}:
                    with self.assertRaises(StoreUnavailable):
                        await HttpMachineList(client, "http://x").read()
        row = {"key": "k", "version": 1, "content": base64.b64encode(b"x").decode()}
        objects = await HttpObjectStore(AnsweringClient({"objects": [row]}), "http://x").list_after(
            "p", ""
        )
        self.assertEqual(objects, [StoredObject("k", 1, b"x")])


class OddStore(ObjectStore):
    """Holds changes, some of which another writer put; counts the calls."""

    def __init__(self, objects: list[StoredObject]) -> None:
        self.objects = objects
        self.num_calls = 0

    async def get(self, key: str) -> StoredObject | None:
        return next((row for row in self.objects if row.key == key), None)

    async def create(self, key: str, content: bytes) -> StoredObject:
        if await self.get(key) is not None:
            raise VersionConflict(key)
        self.objects.append(StoredObject(key, 1, content))
        return self.objects[-1]

    async def replace(self, key: str, content: bytes, expected_version: int) -> StoredObject:
        raise NotImplementedError

    async def list_after(self, prefix: str, after_key: str) -> list[StoredObject]:
        self.num_calls += 1
        return [row for row in self.objects if row.key > after_key]

    async def watch(self, prefix: str, after_key: str, wait_s: float) -> list[StoredObject]:
        found = await self.list_after(prefix, after_key)
        if not found:
            await asyncio.sleep(wait_s)
        return found


class UnreadableChangesTest(unittest.TestCase):
    def setUp(self) -> None:
        self.loop = VirtualTimeLoop()
        asyncio.set_event_loop(self.loop)
        self.addCleanup(self.loop.close)

    def service(self, store: OddStore) -> ConfigurationService:
        membership = mock.Mock(on_revision=[])
        membership.zone_readers.return_value = ["own"]
        membership.swim.local_member.node_id = "own"
        transport = mock.Mock(handlers={})
        return ConfigurationService(
            store, None, membership, transport, mock.Mock(), random.Random(1), 1
        )

    # Guards against a node that ends at a change which it cannot read, or calls without a pause.
    def test_change_that_cannot_be_read_leaves_the_configuration_in_force(self) -> None:
        for key, content in (
            (change_key(1), b"no change"),
            (f"{CHANGES_PREFIX}zzz", b"{}"),
        ):
            with self.subTest(key=key):
                store = OddStore([StoredObject(key, 1, content)])
                service = self.service(store)
                watching = self.loop.create_task(service._watch_forever())
                self.loop.run_until_complete(asyncio.sleep(20.0))
                self.assertFalse(watching.done())
                self.assertEqual(service.snapshot.revision, 0)
                self.assertLessEqual(store.num_calls, 41)
                watching.cancel()

    # Guards against an operator's change that ends in an internal error behind an odd one.
    def test_operator_is_told_of_a_change_that_cannot_be_read(self) -> None:
        service = self.service(OddStore([StoredObject(change_key(1), 1, b"no change")]))
        outcome = self.loop.run_until_complete(service.submit(mock.Mock(), "operator"))
        assert isinstance(outcome, Refusal)
        self.assertEqual(outcome.kind, ErrorKind.STORE_UNAVAILABLE)
        self.assertIn(change_key(1), outcome.detail)
