import asyncio
import sqlite3
import tempfile
import unittest
from pathlib import Path
from unittest import mock

import xxhash

from bendshed.configuration.document import ConfigurationDocument, Snapshot
from bendshed.configuration.file_cache import FILE_NAME, FileConfigurationCache
from bendshed.consensus.sqlite_storage import SqliteLogStorage, open_or_replace, quarantine
from bendshed.ports.log_storage import GroupWrite, StorageCorrupt
from bendshed.wire.consensus_pb2 import LogEntry
from bendshed.wire.consensus_pb2 import Snapshot as GroupSnapshot

REAL_LOAD = SqliteLogStorage._load


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

    def test_writes_survive_a_restart(self) -> None:
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

    def test_a_vote_does_not_write_the_snapshot_again(self) -> None:
        """A vote must be durable within milliseconds, whatever the size of the group's state."""
        storage = SqliteLogStorage(self.folder)
        snapshot = GroupSnapshot(index=5, term=1, state=b"s" * 4_000_000)
        asyncio.run(storage.commit([GroupWrite(1, term=1, voted_for="a", snapshot=snapshot)]))
        before = self.written_bytes()
        asyncio.run(storage.commit([GroupWrite(1, term=2, voted_for="b")]))
        self.assertLess(self.written_bytes() - before, 100_000)
        storage.close()

    def written_bytes(self) -> int:
        """Bytes that this process has passed to write system calls so far."""
        lines = Path("/proc/self/io").read_text().splitlines()
        return int(next(line for line in lines if line.startswith("wchar")).split()[1])

    def test_legacy_schema_is_migrated(self) -> None:
        node_id = self.commit()
        database = sqlite3.connect(self.folder / "log.sqlite")
        snapshot = GroupSnapshot(index=5, term=2, state=b"kept").SerializeToString()
        database.executescript(
            "DROP TABLE hard_states; DROP TABLE snapshots;"
            "CREATE TABLE groups (group_id INTEGER PRIMARY KEY, term INTEGER NOT NULL,"
            " voted_for TEXT NOT NULL, snapshot BLOB NOT NULL, checksum INTEGER NOT NULL);"
        )
        checksum = xxhash.xxh3_64_intdigest(snapshot) >> 1
        database.execute("INSERT INTO groups VALUES (4, 3, 'n', ?, ?)", (snapshot, checksum))
        database.commit()
        database.close()
        for _ in range(2):  # the second iteration reads the migrated schema
            storage = SqliteLogStorage(self.folder)
            (group,) = storage.load()
            self.assertEqual((group.group_id, group.term, group.voted_for), (4, 3, "n"))
            self.assertEqual(group.snapshot.state, b"kept")
            self.assertEqual(storage.node_id(), node_id)
            storage.close()

    def test_startup_check_reads_the_log_once(self) -> None:
        self.commit(GroupWrite(1, entries=entries(1, 3)))
        with mock.patch.object(SqliteLogStorage, "_load", autospec=True) as load:
            load.side_effect = REAL_LOAD
            storage = open_or_replace(self.folder)
            self.assertEqual(len(storage.load()[0].entries), 3)
            self.assertEqual(load.call_count, 1)
        storage.close()

    def test_torn_last_entry_is_truncated(self) -> None:
        self.commit(GroupWrite(1, entries=entries(1, 3)))
        self.damage(3)
        storage = SqliteLogStorage(self.folder)
        self.assertEqual([e.index for e in storage.load()[0].entries], [1, 2])
        storage.close()

    def test_corrupt_entry_before_the_last_gives_a_new_identity(self) -> None:
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
