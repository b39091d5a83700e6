"""Keeps the newest configuration in one file of the data folder."""

import os
from pathlib import Path

import xxhash
from pydantic import ValidationError

from bendshed.configuration.document import Snapshot
from bendshed.configuration.service import ConfigurationCache
from bendshed.logs import PartLog

FILE_NAME = "configuration.json"

log = PartLog("configuration")


class FileConfigurationCache(ConfigurationCache):
    """First line: checksum in hex; rest: the snapshot as JSON."""

    def __init__(self, folder: Path) -> None:
        self._path = folder / FILE_NAME

    def load(self) -> Snapshot | None:
        """Return what was kept; a damaged file counts as nothing and is reported."""
        if not self._path.exists():
            return None
        checksum, _, content = self._path.read_bytes().partition(b"\n")
        try:
            if checksum.decode() != xxhash.xxh3_64_hexdigest(content):
                raise ValueError("checksum")
            return Snapshot.model_validate_json(content)
        except (ValueError, ValidationError) as error:
            log.say("the kept configuration is damaged and is fetched anew", reason=str(error))
            return None

    def save(self, snapshot: Snapshot) -> None:
        """Write beside, sync, rename: the file is whole at any moment."""
        content = snapshot.model_dump_json().encode()
        beside = self._path.with_suffix(".new")
        with beside.open("wb") as file:
            file.write(xxhash.xxh3_64_hexdigest(content).encode() + b"\n" + content)
            file.flush()
            os.fsync(file.fileno())
        beside.rename(self._path)
