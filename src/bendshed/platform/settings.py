"""Reads the settings file that the platform lays on each machine."""

import os
from collections.abc import Mapping
from ipaddress import IPv4Address
from pathlib import Path
from typing import Annotated, Any

import yaml
from pydantic import BaseModel, ConfigDict, Field, ValidationError

from bendshed.platform.names import SETTINGS_VARIABLE
from bendshed.ports.transport import Address

HostAndPort = Annotated[str, Field(pattern=r"^\d{1,3}(\.\d{1,3}){3}:\d{1,5}$")]


class SiteSettingsInvalid(Exception):
    """The file is missing or a field is impossible; the text names field and cure."""


class _Section(BaseModel):
    """Unknown fields are passed over, as the platform asks."""

    model_config = ConfigDict(frozen=True, extra="ignore")


class Listen(_Section):
    """Addresses of what the role serves."""

    front: HostAndPort | None = None
    ready: HostAndPort | None = None
    control: HostAndPort | None = None


class FaultTolerance(_Section):
    """How many machines or zones may be lost at once."""

    machines: int = Field(default=1, ge=0, le=9)
    zones: int = Field(default=0, ge=0, le=9)

    @property
    def most(self) -> int:
        """Replicas that may be lost at once: one a machine or a zone, at least one."""
        return max(1, self.machines, self.zones)


class Bounds(_Section):
    """Figures of the rules in force that the product needs."""

    graceS: float = Field(default=8.0, gt=0)  # noqa: N815 (the platform's spelling)
    contactMs: int = Field(default=3000, gt=0)  # noqa: N815
    applyMs: int = Field(default=2000, gt=0)  # noqa: N815


class MetadataStore(_Section):
    """Where the platform's store is."""

    addr: HostAndPort


class SiteSettings(_Section):
    """The settings of one process."""

    nodeName: str = Field(min_length=1)  # noqa: N815
    ip: IPv4Address
    zone: str = Field(min_length=1)
    region: str = ""
    listen: Listen = Listen()
    portRange: tuple[int, int]  # noqa: N815
    seeds: list[HostAndPort] = []
    bootstrap: bool = False
    dataDir: Path | None = None  # noqa: N815
    faultTolerance: FaultTolerance = FaultTolerance()  # noqa: N815
    bounds: Bounds = Bounds()
    platform: MetadataStore

    @property
    def peer_address(self) -> Address:
        """Where other nodes reach this process."""
        return Address(str(self.ip), self.portRange[0])


def read_address(text: str) -> Address:
    """Read ``ip:port``."""
    host, _, port = text.rpartition(":")
    return Address(host, int(port))


def load_site_settings(environment: Mapping[str, str] = os.environ) -> SiteSettings:
    """Read and check the file; raise ``SiteSettingsInvalid`` with one line."""
    path = environment.get(SETTINGS_VARIABLE, "")
    if not path:
        raise SiteSettingsInvalid(
            f"{SETTINGS_VARIABLE}: (missing): set it to the settings file's path"
        )
    try:
        content: Any = yaml.safe_load(Path(path).read_text())
    except OSError as error:
        raise SiteSettingsInvalid(f"{path}: {error}: name a file that can be read") from error
    except yaml.YAMLError as error:
        reason = " ".join(str(error).split())
        raise SiteSettingsInvalid(f"{path}: {reason}: write valid YAML") from error
    try:
        return SiteSettings.model_validate(content)
    except ValidationError as error:
        raise SiteSettingsInvalid(f"{path}: {_first_problems(error)}") from error


def _first_problems(error: ValidationError) -> str:
    rows = []
    for row in error.errors():
        field = ".".join(str(part) for part in row["loc"]) or "(file)"
        value = "(missing)" if row["type"] == "missing" else repr(row["input"])[:80]
        rows.append(f"{field}: {value}: {row['msg']}")
    return "; ".join(rows)
