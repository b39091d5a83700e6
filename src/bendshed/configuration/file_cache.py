"""Persists the newest configuration in one file of the data folder."""

from pathlib import Path

from pydantic import ValidationError

from bendshed.adapters.durable_file import FileDamaged, read_durable, write_durable
from bendshed.configuration.document import Snapshot
from bendshed.configuration.service import ConfigurationCache
from bendshed.logs import PartLog

FILE_NAME = "configuration.json"

log = PartLog("configuration")


class FileConfigurationCache(ConfigurationCache):
    """The snapshot as JSON in a file with a digest; a file of another form is ignored."""

    def __init__(self, folder: Path) -> None:
        self._path = folder / FILE_NAME

    def load(self) -> Snapshot | None:
        """Return the persisted snapshot; a damaged file is logged and counts as none."""
        if not self._path.exists():
            return None
        try:
            return Snapshot.model_validate_json(read_durable(self._path))
        except (FileDamaged, ValidationError) as error:
            log.say("persisted configuration ignored: file damaged", reason=str(error))
            return None

    def save(self, snapshot: Snapshot) -> None:
        """Replace the file; it is always whole."""
        write_durable(self._path, snapshot.model_dump_json().encode())
