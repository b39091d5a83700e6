"""The settings of one node, with types, ranges and units."""

from pathlib import Path
from typing import Annotated, Literal

from pydantic import BaseModel, ConfigDict, Field, IPvAnyAddress

Port = Annotated[int, Field(ge=0, le=65535)]
PeerAddress = Annotated[str, Field(pattern=r"^[0-9a-fA-F.:\[\]]+:\d{1,5}$")]
Url = Annotated[str, Field(pattern=r"^https?://")]


class _Section(BaseModel):
    model_config = ConfigDict(frozen=True, extra="forbid")


class NodeSection(_Section):
    """Identity and listen addresses of this node. Port 0 selects a free port."""

    name: Annotated[str, Field(pattern=r"^[A-Za-z0-9][A-Za-z0-9._-]{0,63}$")]
    zone: Annotated[str, Field(min_length=1)]
    region: Annotated[str, Field(min_length=1)] = "default"
    host: IPvAnyAddress
    peer_port: Port = 0
    http_port: Port = 0
    seeds: list[PeerAddress] = []
    data_folder: Path | None = None
    drain_timeout_s: Annotated[float, Field(gt=0, le=3600)] = 600.0


class PlatformSection(_Section):
    """Addresses and parameters of the platform's services."""

    object_api: Url
    machine_list: Url
    machine_list_interval_s: Annotated[float, Field(ge=0.1, le=60)] = 2.0
    store_readers_per_zone: Annotated[int, Field(ge=1, le=10)] = 2
    engine_adapter: Literal["openai"] = "openai"


class GroupsSection(_Section):
    """Replicated groups. ``count`` and ``replicas`` are fixed once an installation has started."""

    count: Annotated[int, Field(ge=1, le=4096)] = 8
    replicas: Annotated[int, Field(ge=1, le=7)] = 3
    bootstrap_disk_nodes: Annotated[int, Field(ge=1)] = 3
    tick_s: Annotated[float, Field(ge=0.01, le=1)] = 0.1
    replace_after_s: Annotated[float, Field(ge=1)] = 30.0


class ProgramsSection(_Section):
    """Defaults for calls, and retention of programs."""

    default_deadline_s: Annotated[float, Field(gt=0)] = 120.0
    default_max_answer_tokens: Annotated[int, Field(ge=1)] = 512
    idle_timeout_s: Annotated[float, Field(ge=1)] = 3600.0
    ended_kept_s: Annotated[float, Field(ge=1)] = 600.0


class RoutingSection(_Section):
    """How the node obtains the load of engines."""

    load_poll_interval_s: Annotated[float, Field(ge=0.1, le=60)] = 1.0
    load_polls_per_interval: Annotated[int, Field(ge=1)] = 16
    reconcile_interval_s: Annotated[float, Field(ge=0.5)] = 5.0


class OperatorsSection(_Section):
    """Access of operators to queries and commands. The token is a secret."""

    token_sha256: Annotated[str, Field(pattern=r"^[0-9a-f]{64}$")] | None = None


class Settings(_Section):
    """All settings of one node."""

    node: NodeSection
    platform: PlatformSection
    groups: GroupsSection = GroupsSection()
    programs: ProgramsSection = ProgramsSection()
    routing: RoutingSection = RoutingSection()
    operators: OperatorsSection = OperatorsSection()
