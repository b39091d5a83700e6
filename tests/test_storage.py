import asyncio
import sqlite3
import tempfile
import unittest
from pathlib import Path

from bendshed.configuration.document import ConfigurationDocument, Snapshot
from bendshed.configuration.file_cache import FILE_NAME, FileConfigurationCache
from bendshed.consensus.sqlite_storage import SqliteLogStorage, quarantine
from bendshed.ports.log_storage import GroupWrite, StorageCorrupt
from bendshed.wire.consensus_pb2 import LogEntry


def entries(first: int, last: int, term: int = 1) -> list[LogEntry]:
    return [LogEntry(index=i, term=term, data=b"x") for i in range(first, last + 1)]


class StorageTest(unittest.TestCase):
    def setUp(self) -> None:
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.folder = Path(folder.name)

    def commit(self, *writes: GroupWrite) -> str:
        storage = SqliteLogStorage(self.folder)
        asyncio.run(storage.commit(list(writes)))
        node_id = storage.node_id()
        storage.close()
        return node_id

    def damage(self, index: int) -> None:
        database = sqlite3.connect(self.folder / "log.sqlite")
        database.execute("UPDATE entries SET entry=x'00ff' WHERE entry_index=?", (index,))
        database.commit()
        database.close()

    def test_writes_outlive_the_process(self) -> None:
        node_id = self.commit(
            GroupWrite(3, term=2, voted_for="n", entries=entries(1, 5)),
            GroupWrite(3, truncate_from=4, entries=entries(4, 4, term=2)),
        )
        storage = SqliteLogStorage(self.folder)
        (group,) = storage.load()
        self.assertEqual(storage.node_id(), node_id)
        self.assertEqual((group.term, group.voted_for), (2, "n"))
        self.assertEqual(
            [(e.index, e.term) for e in group.entries], [(1, 1), (2, 1), (3, 1), (4, 2)]
        )
        storage.close()

    def test_no_shared_memory_file(self) -> None:
        storage = SqliteLogStorage(self.folder)
        asyncio.run(storage.commit([GroupWrite(1, entries=entries(1, 1))]))
        self.assertFalse(list(self.folder.glob("*-shm")))
        storage.close()

    def test_a_torn_tail_is_cut(self) -> None:
        self.commit(GroupWrite(1, entries=entries(1, 3)))
        self.damage(3)
        storage = SqliteLogStorage(self.folder)
        self.assertEqual([e.index for e in storage.load()[0].entries], [1, 2])
        storage.close()

    def test_a_corrupt_middle_gives_a_new_identity(self) -> None:
        old_id = self.commit(GroupWrite(1, entries=entries(1, 3)))
        self.damage(2)
        storage = SqliteLogStorage(self.folder)
        with self.assertRaises(StorageCorrupt):
            storage.load()
        storage.close()
        self.assertTrue(quarantine(self.folder).exists())
        fresh = SqliteLogStorage(self.folder)
        self.assertNotEqual(fresh.node_id(), old_id)
        self.assertEqual(fresh.load(), [])
        fresh.close()

    def test_configuration_file(self) -> None:
        cache = FileConfigurationCache(self.folder)
        self.assertIsNone(cache.load())
        snapshot = Snapshot(revision=7, document=ConfigurationDocument(drained_runners=["r"]))
        cache.save(snapshot)
        self.assertEqual(cache.load(), snapshot)
        path = self.folder / FILE_NAME
        path.write_bytes(path.read_bytes().replace(b'"r"', b'"q"'))
        self.assertIsNone(cache.load())
