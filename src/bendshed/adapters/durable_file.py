"""Atomic replacement of small files: temporary file, fsync, rename; a digest detects damage."""

import os
from pathlib import Path

import xxhash

DIGEST_BYTES = 8


class FileDamaged(Exception):
    """The file's digest does not match its content."""


def write_durable(path: Path, content: bytes) -> None:
    """Replace a file durably; raise ``OSError``."""
    temporary_path = path.with_suffix(".new")
    with temporary_path.open("wb") as file:
        file.write(xxhash.xxh3_64_digest(content) + content)
        file.flush()
        os.fsync(file.fileno())
    temporary_path.replace(path)
    _sync_folder(path.parent)


def read_durable(path: Path) -> bytes:
    """Read a file; raise ``OSError`` or ``FileDamaged``."""
    stored = path.read_bytes()
    digest, content = stored[:DIGEST_BYTES], stored[DIGEST_BYTES:]
    if digest != xxhash.xxh3_64_digest(content):
        raise FileDamaged(str(path))
    return content


def _sync_folder(folder: Path) -> None:
    """Sync a folder, which makes a rename in it durable."""
    descriptor = os.open(folder, os.O_RDONLY | os.O_DIRECTORY)
    try:
        os.fsync(descriptor)
    finally:
        os.close(descriptor)
