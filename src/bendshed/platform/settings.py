"""Reads the settings file that the platform places on each machine.

The deploy file requests JSON (`deploy/settings.template`), which needs no further import; YAML, the
platform's default, is supported too but each start then imports its library.

Validated by msgspec instead of the library of the product's own settings: that one costs each
process of the platform 20 MB of memory and a third of its startup time (docs/CAPACITY.md).
"""

import os
from collections.abc import Mapping
from pathlib import Path
from typing import Annotated, Any

import msgspec
from msgspec import Meta

from bendshed.admission.quota_limits import MAX_WINDOW_S, QuotaTolerance
from bendshed.catalog.times import CatalogTimes
from bendshed.model.address import Address
from bendshed.model.places import Places
from bendshed.placement.cold_runners import ColdRateLimit
from bendshed.placement.distance import LINK_SETTING_NAMES, LINK_SETTINGS_HINT, LinkSettings
from bendshed.placement.groups import TurnGroups
from bendshed.platform.names import SETTINGS_VARIABLE
from bendshed.policy import ALL_ENABLED, SWITCHES_HINT, Policy, unknown_switches

_IP = r"\d{1,3}(\.\d{1,3}){3}"
IpAddress = Annotated[str, Meta(pattern=rf"^{_IP}$")]
HostAndPort = Annotated[str, Meta(pattern=rf"^{_IP}:\d{{1,5}}$")]
Text = Annotated[str, Meta(min_length=1)]
Port = Annotated[int, Meta(ge=1, le=65_535)]
Milliseconds = Annotated[int, Meta(gt=0)]
Window = Annotated[float, Meta(gt=0, le=MAX_WINDOW_S)]
Share = Annotated[float, Meta(ge=0)]
Seconds = Annotated[float, Meta(gt=0)]
ToleratedLosses = Annotated[int, Meta(ge=0, le=9)]


class SiteSettingsInvalid(Exception):
    """The file is missing or a field is invalid; the message names the field and the remedy."""


class _Section(msgspec.Struct, frozen=True):
    """Unknown fields are ignored, as the platform requires."""


class Listen(_Section, frozen=True):
    """Addresses on which the role listens."""

    front: HostAndPort | None = None
    ready: HostAndPort | None = None
    control: HostAndPort | None = None


class FaultTolerance(_Section, frozen=True):
    """Number of machines, zones or regions that may fail simultaneously."""

    machines: ToleratedLosses = 1
    zones: ToleratedLosses = 0
    regions: ToleratedLosses = 0

    @property
    def max_lost_replicas(self) -> int:
        """Maximum number of replicas lost simultaneously: one per machine or zone, at least 1."""
        return max(1, self.machines, self.zones)


class Bounds(_Section, frozen=True):
    """Time limits that the product must meet."""

    graceS: Seconds = 8.0  # noqa: N815 (the platform's spelling)
    contactMs: Milliseconds = 3000  # noqa: N815
    applyMs: Milliseconds = 2000  # noqa: N815
    drainMs: Milliseconds = 2000  # noqa: N815
    quotaWindowS: Window = 5.0  # noqa: N815
    quotaOver: Share = 0.0  # noqa: N815
    quotaSlack: Share = 0.0  # noqa: N815
    coldOver: Share = 1.0  # noqa: N815
    coldSlack: Share = 0.0  # noqa: N815
    evacMs: Milliseconds | None = None  # noqa: N815

    @property
    def cold_rate_limit(self) -> ColdRateLimit:
        """Tolerance of the dispatch rate limit of cold runners."""
        return ColdRateLimit(self.coldOver, self.coldSlack)

    @property
    def zone_close_s(self) -> float | None:
        """Time until a closed zone gets no new requests; ``None``: zones are never closed."""
        return self.evacMs / 1000 if self.evacMs is not None else None

    @property
    def quota_tolerance(self) -> QuotaTolerance:
        """Tolerance of tenants' quota limits."""
        return QuotaTolerance(self.quotaWindowS, self.quotaOver, self.quotaSlack)


class MetadataStore(_Section, frozen=True):
    """Address of the platform's store and how long it retains its change history."""

    addr: HostAndPort
    historyS: Seconds = 20.0  # noqa: N815


class SiteSettings(_Section, frozen=True, kw_only=True):
    """The settings of one process."""

    nodeName: Text  # noqa: N815
    ip: IpAddress
    zone: Text
    region: str = ""
    zones: dict[str, str] = {}
    listen: Listen = Listen()
    portRange: tuple[Port, Port]  # noqa: N815
    seeds: list[HostAndPort] = []
    bootstrap: bool = False
    dataDir: str | None = None  # noqa: N815
    faultTolerance: FaultTolerance = FaultTolerance()  # noqa: N815
    bounds: Bounds = Bounds()
    platform: MetadataStore
    policy: Policy = ALL_ENABLED
    placement: LinkSettings = LinkSettings()

    @property
    def places(self) -> Places:
        """Region of each zone."""
        return Places({**self.zones, self.zone: self.zones.get(self.zone, self.region)})

    @property
    def turn_groups(self) -> TurnGroups:
        """Groups of the turn log; identical on all nodes, computed from shared settings alone.

        If a region may be lost, no group has a home region: most of its voters would be lost too.
        """
        is_regional = self.policy.regional_groups and not self.faultTolerance.regions
        return TurnGroups.from_places(Places(self.zones), is_regional)

    @property
    def apply_s(self) -> float:
        """Time limit for applying a change of the configuration or of a runner."""
        return self.bounds.applyMs / 1000

    @property
    def catalog_times(self) -> CatalogTimes:
        """Polling intervals of the store, derived from the time limits."""
        bounds = self.bounds
        return CatalogTimes.within(
            self.apply_s,
            self.platform.historyS,
            bounds.zone_close_s,
            bounds.contactMs / 1000,
            bounds.drainMs / 1000,
        )

    @property
    def peer_address(self) -> Address:
        """Address on which other nodes reach this process."""
        return Address(self.ip, self.portRange[0])


def load_site_settings(environment: Mapping[str, str] = os.environ) -> SiteSettings:
    """Read and validate the file; raise ``SiteSettingsInvalid`` with a one-line message."""
    path = environment.get(SETTINGS_VARIABLE, "")
    if not path:
        raise SiteSettingsInvalid(
            f"{SETTINGS_VARIABLE}: (missing): set it to the settings file's path"
        )
    try:
        text = Path(path).read_text()
    except OSError as error:
        raise SiteSettingsInvalid(f"{path}: {error}: name a file that can be read") from error
    content = _parse_json(path, text) if text.startswith("{") else _parse_yaml(path, text)
    content = _merge_sections(path, content)
    try:
        return msgspec.convert(content, SiteSettings)
    except msgspec.ValidationError as error:
        raise SiteSettingsInvalid(f"{path}: {error}: correct this field") from error


def _merge_sections(path: str, content: Any) -> Any:
    """Merge the platform's fields with ours; without the template they are the entire file."""
    if not isinstance(content, dict) or "site" not in content:
        return content
    for section in ("policy", "placement"):
        if not isinstance(content.get(section) or {}, dict):
            raise SiteSettingsInvalid(f"{path}: {section}: not an object: write its fields by name")
    policy = content.get("policy") or {}
    for name in unknown_switches(policy):
        raise SiteSettingsInvalid(f"{path}: policy.{name}: unknown: {SWITCHES_HINT}")
    placement = content.get("placement") or {}
    for name in set(placement) - LINK_SETTING_NAMES:
        raise SiteSettingsInvalid(f"{path}: placement.{name}: unknown: {LINK_SETTINGS_HINT}")
    return {**content["site"], "policy": policy, "placement": placement}


def _parse_json(path: str, text: str) -> Any:
    try:
        return msgspec.json.decode(text)
    except msgspec.DecodeError as error:
        raise SiteSettingsInvalid(f"{path}: {error}: write valid JSON") from error


def _parse_yaml(path: str, text: str) -> Any:
    import yaml  # noqa: PLC0415 (see the module docstring)

    try:
        return yaml.safe_load(text)
    except yaml.YAMLError as error:
        reason = " ".join(str(error).split())
        raise SiteSettingsInvalid(f"{path}: {reason}: write valid YAML") from error
