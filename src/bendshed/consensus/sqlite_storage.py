"""Durable logs of all groups in one SQLite file, one transaction per commit.

The write-ahead log would map a shared-memory file; because exclusive locking is set first, SQLite
keeps that index in private memory instead. ``synchronous=FULL`` makes each commit durable.
Every record carries a checksum: a bad record at the end of a log is a torn write and is truncated;
a bad one before the end raises ``StorageCorrupt``. The file is then quarantined and the node starts
empty under a new identity (``quarantine``), so that the lost state cannot affect any vote.
"""

import asyncio
import secrets
import sqlite3
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path

import xxhash

from bendshed.logs import PartLog
from bendshed.ports.log_storage import (
    GroupWrite,
    LogStorage,
    StorageCorrupt,
    StorageFailed,
    StoredGroup,
)
from bendshed.wire.consensus_pb2 import LogEntry, Snapshot

SCHEMA = """
CREATE TABLE IF NOT EXISTS identity (node_id TEXT NOT NULL, bootstrapped INTEGER NOT NULL);
CREATE TABLE IF NOT EXISTS hard_states (
    group_id INTEGER PRIMARY KEY, term INTEGER NOT NULL, voted_for TEXT NOT NULL);
CREATE TABLE IF NOT EXISTS snapshots (
    group_id INTEGER PRIMARY KEY, snapshot BLOB NOT NULL, checksum INTEGER NOT NULL);
CREATE TABLE IF NOT EXISTS entries (
    group_id INTEGER NOT NULL, entry_index INTEGER NOT NULL, entry BLOB NOT NULL,
    checksum INTEGER NOT NULL, PRIMARY KEY (group_id, entry_index)) WITHOUT ROWID;
"""

LEGACY_TABLE = "groups"
"""Until December 2026 a group's hard state and snapshot shared one row, so each vote rewrote the
whole snapshot."""
MIGRATION = """
INSERT OR IGNORE INTO hard_states SELECT group_id, term, voted_for FROM groups;
INSERT OR IGNORE INTO snapshots SELECT group_id, snapshot, checksum FROM groups;
DROP TABLE groups;
"""

log = PartLog("storage")


def _checksum(content: bytes) -> int:
    return xxhash.xxh3_64_intdigest(content) >> 1  # SQLite integers are signed


class SqliteLogStorage(LogStorage):
    """All groups of one node in ``<folder>/log.sqlite``."""

    def __init__(self, folder: Path) -> None:
        folder.mkdir(parents=True, exist_ok=True)
        self._path = folder / "log.sqlite"
        self._writer = ThreadPoolExecutor(max_workers=1, thread_name_prefix="log-writer")
        self._database = self._writer.submit(self._open).result()
        self._node_id = self._writer.submit(self._read_identity).result()
        self._preloaded: list[StoredGroup] | None = None

    def _open(self) -> sqlite3.Connection:
        database = sqlite3.connect(self._path, isolation_level=None)
        database.execute("PRAGMA locking_mode=EXCLUSIVE")
        database.execute("PRAGMA journal_mode=WAL")
        database.execute("PRAGMA synchronous=FULL")
        database.executescript(SCHEMA)
        if self._has_table(database, LEGACY_TABLE):
            database.executescript(f"BEGIN IMMEDIATE;{MIGRATION}COMMIT;")
        return database

    @staticmethod
    def _has_table(database: sqlite3.Connection, name: str) -> bool:
        query = "SELECT 1 FROM sqlite_master WHERE type='table' AND name=?"
        return database.execute(query, (name,)).fetchone() is not None

    def _read_identity(self) -> str:
        row = self._database.execute("SELECT node_id FROM identity").fetchone()
        if row is not None:
            return str(row[0])
        node_id = secrets.token_hex(8)
        self._database.execute("INSERT INTO identity VALUES (?, 0)", (node_id,))
        return node_id

    def node_id(self) -> str:
        """Identity of this data folder."""
        return self._node_id

    def check(self) -> None:
        """Read all groups in advance for the next ``load``, and raise the same errors."""
        self._preloaded = self.load()

    def load(self) -> list[StoredGroup]:
        """Read all groups; the module docstring describes the handling of bad records."""
        preloaded, self._preloaded = self._preloaded, None
        if preloaded is not None:
            return preloaded
        try:
            return self._writer.submit(self._load).result()
        except sqlite3.DatabaseError as error:
            raise StorageCorrupt(str(error)) from error

    def _load(self) -> list[StoredGroup]:
        query = "SELECT group_id, term, voted_for FROM hard_states ORDER BY group_id"
        rows = self._database.execute(query).fetchall()
        return [
            StoredGroup(
                group_id,
                term,
                voted_for,
                self._load_snapshot(group_id),
                self._load_entries(group_id),
            )
            for group_id, term, voted_for in rows
        ]

    def _load_snapshot(self, group_id: int) -> Snapshot:
        query = "SELECT snapshot, checksum FROM snapshots WHERE group_id=?"
        row = self._database.execute(query, (group_id,)).fetchone()
        if row is None:
            return Snapshot()
        content, checksum = row
        if _checksum(content) != checksum:
            raise StorageCorrupt(f"snapshot of group {group_id}")
        return Snapshot.FromString(content)

    def _load_entries(self, group_id: int) -> list[LogEntry]:
        """Read a log row by row, so that memory holds it once; only the last record may be bad."""
        rows = self._database.execute(
            "SELECT entry_index, entry, checksum FROM entries WHERE group_id=? "
            "ORDER BY entry_index",
            (group_id,),
        )
        entries: list[LogEntry] = []
        bad_index: int | None = None
        for index, content, checksum in rows:
            if bad_index is not None:
                raise StorageCorrupt(f"entry {bad_index} of group {group_id}")
            if _checksum(content) == checksum:
                entries.append(LogEntry.FromString(content))
            else:
                bad_index = index
        if bad_index is not None:
            log.say("torn last entry cut", group=group_id, index=bad_index)
            self._database.execute(
                "DELETE FROM entries WHERE group_id=? AND entry_index>=?", (group_id, bad_index)
            )
        return entries

    async def commit(self, writes: list[GroupWrite]) -> None:
        """Make the writes durable in one transaction, on the writer thread."""
        loop = asyncio.get_running_loop()
        await loop.run_in_executor(self._writer, self._commit, writes)

    def _commit(self, writes: list[GroupWrite]) -> None:
        database = self._database
        try:
            database.execute("BEGIN IMMEDIATE")
            for write in writes:
                self._write_group(database, write)
            database.execute("COMMIT")
        except (sqlite3.OperationalError, OSError) as error:
            if database.in_transaction:
                database.execute("ROLLBACK")
            raise StorageFailed(str(error)) from error

    def _write_group(self, database: sqlite3.Connection, write: GroupWrite) -> None:
        group_id = write.group_id
        database.execute("INSERT OR IGNORE INTO hard_states VALUES (?, 0, '')", (group_id,))
        if write.term is not None:
            database.execute(
                "UPDATE hard_states SET term=?, voted_for=? WHERE group_id=?",
                (write.term, write.voted_for or "", group_id),
            )
        if write.truncate_from:
            database.execute(
                "DELETE FROM entries WHERE group_id=? AND entry_index>=?",
                (group_id, write.truncate_from),
            )
        if write.snapshot is not None:
            content = write.snapshot.SerializeToString()
            database.execute(
                "INSERT OR REPLACE INTO snapshots VALUES (?, ?, ?)",
                (group_id, content, _checksum(content)),
            )
            database.execute(
                "DELETE FROM entries WHERE group_id=? AND entry_index<=?",
                (group_id, write.snapshot.index),
            )
        rows = [(entry.index, entry.SerializeToString()) for entry in write.entries]
        database.executemany(
            "INSERT OR REPLACE INTO entries VALUES (?, ?, ?, ?)",
            [(group_id, index, content, _checksum(content)) for index, content in rows],
        )

    def is_bootstrapped(self) -> bool:
        """Whether this folder has taken part in the initial placement."""
        return self._writer.submit(self._read_bootstrapped).result()

    def _read_bootstrapped(self) -> bool:
        row = self._database.execute("SELECT bootstrapped FROM identity").fetchone()
        return bool(row[0])

    def mark_bootstrapped(self) -> None:
        """Record that the initial placement was carried out here."""
        self._writer.submit(self._database.execute, "UPDATE identity SET bootstrapped=1").result()

    def close(self) -> None:
        """Close the file; later commits fail."""
        self._writer.submit(self._database.close).result()
        self._writer.shutdown()


def quarantine(folder: Path) -> Path:
    """Rename a corrupt file; the next ``SqliteLogStorage`` starts empty with a new identity."""
    path = folder / "log.sqlite"
    number = 1
    while (quarantined := folder / f"log.sqlite.corrupt-{number}").exists():
        number += 1
    path.rename(quarantined)
    for leftover in ("log.sqlite-wal", "log.sqlite-shm"):
        (folder / leftover).unlink(missing_ok=True)
    return quarantined


def open_or_replace(folder: Path) -> SqliteLogStorage:
    """Open a folder's log; a corrupt one is quarantined and replaced by an empty one."""
    try:
        storage = SqliteLogStorage(folder)
    except sqlite3.OperationalError:
        raise  # a full or failing disk does not imply corrupt content
    except sqlite3.DatabaseError as error:
        return _replace_corrupt(folder, error)
    try:
        storage.check()
    except sqlite3.OperationalError:
        raise
    except (StorageCorrupt, sqlite3.DatabaseError) as error:
        storage.close()
        return _replace_corrupt(folder, error)
    return storage


def _replace_corrupt(folder: Path, error: Exception) -> SqliteLogStorage:
    quarantined = quarantine(folder)
    log.say(
        "log corrupt: starting empty under a new identity",
        reason=str(error),
        kept_as=str(quarantined),
    )
    return SqliteLogStorage(folder)
