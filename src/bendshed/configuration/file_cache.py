"""Persists the newest configuration in a file of the data folder."""

from pathlib import Path

from pydantic import ValidationError

from bendshed.adapters.durable_file import FileDamaged, read_durable, write_durable
from bendshed.configuration.document import Snapshot
from bendshed.configuration.service import ConfigurationCache
from bendshed.logs import PartLog

FILE_NAME = "configuration.json"

log = PartLog("configuration")


class FileConfigurationCache(ConfigurationCache):
    """Stores the snapshot as JSON with a digest; a file that fails validation is ignored."""

    def __init__(self, folder: Path) -> None:
        self._path = folder / FILE_NAME

    def load(self) -> Snapshot | None:
        """Return the persisted snapshot, or ``None`` if there is none; a damaged file is logged."""
        if not self._path.exists():
            return None
        try:
            return Snapshot.model_validate_json(read_durable(self._path))
        except (FileDamaged, ValidationError) as error:
            log.say("persisted configuration ignored: file damaged", reason=str(error))
            return None

    def save(self, snapshot: Snapshot) -> None:
        """Replace the file atomically."""
        write_durable(self._path, snapshot.model_dump_json().encode())
