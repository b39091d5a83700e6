"""The configuration document and the changes that make it (checked by pydantic).

A document is the fold of all changes up to its revision. A change is immutable once it is
accepted, so any two nodes at one revision hold the same document.
"""

import hashlib
from typing import Annotated, Literal

from pydantic import BaseModel, ConfigDict, Field, TypeAdapter

Name = Annotated[str, Field(pattern=r"^[A-Za-z0-9][A-Za-z0-9._-]{0,127}$")]
PRIORITY_MIN = 0
PRIORITY_MAX = 9
Priority = Annotated[int, Field(ge=PRIORITY_MIN, le=PRIORITY_MAX)]


class _Value(BaseModel):
    model_config = ConfigDict(frozen=True, extra="forbid")


class ProgramDeclaration(_Value):
    """A kind of program that operators accept.

    Attributes:
        models: models that it may call.
        max_turns, max_seconds, max_tokens: limits of one program of this kind.
        tool_timeout_s: after this long without a call a program is idle and ends.

    """

    models: list[Name] = Field(min_length=1)
    max_turns: int = Field(default=450, ge=1, le=100_000)
    max_seconds: int = Field(default=86_400, ge=1)
    max_tokens: int = Field(default=10_000_000, ge=1)


class Tenant(_Value):
    """A caller. ``token_sha256`` is the hash of its bearer token, in hex.

    Attributes:
        budget_tokens: tokens that all its programs together may spend.
        priority: 0 most urgent.

    """

    token_sha256: Annotated[str, Field(pattern=r"^[0-9a-f]{64}$")]
    budget_tokens: int = Field(ge=0)
    priority: Priority = 5


class Pool(_Value):
    """Engines that serve one model."""

    model: Name
    runners: list[Name]


class RunnerOrder(_Value):
    """A model that a runner is to load. The fence is the revision that ordered it."""

    model: Name
    fence: int


class ConfigurationDocument(_Value):
    """What is in force at one revision."""

    programs: dict[Name, ProgramDeclaration] = {}
    tenants: dict[Name, Tenant] = {}
    pools: dict[Name, Pool] = {}
    drained_runners: list[Name] = []
    runner_orders: dict[Name, RunnerOrder] = {}

    def tenant_of_token(self, token: str) -> str | None:
        """Name of the tenant with this bearer token."""
        digest = hashlib.sha256(token.encode()).hexdigest()
        for name, tenant in self.tenants.items():
            if tenant.token_sha256 == digest:
                return name
        return None


class DeclareProgram(_Value):
    """Accept a kind of program, or replace its declaration."""

    change: Literal["declare_program"] = "declare_program"
    name: Name
    declaration: ProgramDeclaration


class PutTenant(_Value):
    """Add or replace a tenant."""

    change: Literal["put_tenant"] = "put_tenant"
    name: Name
    tenant: Tenant


class SetBudget(_Value):
    """Set a tenant's budget."""

    change: Literal["set_budget"] = "set_budget"
    tenant: Name
    budget_tokens: int = Field(ge=0)


class SetPriority(_Value):
    """Set a tenant's priority."""

    change: Literal["set_priority"] = "set_priority"
    tenant: Name
    priority: Priority


class CreatePool(_Value):
    """Create or replace a pool."""

    change: Literal["create_pool"] = "create_pool"
    name: Name
    pool: Pool


class DrainRunner(_Value):
    """Give a runner no new work; ``drain=False`` takes that back."""

    change: Literal["drain_runner"] = "drain_runner"
    runner: Name
    drain: bool = True


class LoadModel(_Value):
    """Order a runner to load a model."""

    change: Literal["load_model"] = "load_model"
    runner: Name
    model: Name


AnyChange = Annotated[
    DeclareProgram | PutTenant | SetBudget | SetPriority | CreatePool | DrainRunner | LoadModel,
    Field(discriminator="change"),
]


class AcceptedChange(_Value):
    """One change as the store holds it, under the key of its revision.

    Attributes:
        operation_id: drawn by the writer; tells its own accepted change from another's.
        base_revision: revision that the author saw; for the record.

    """

    operation_id: str
    author: str
    at_ms: int
    base_revision: int
    body: AnyChange


class Snapshot(_Value):
    """A document and its revision, as kept on disk and sent to peers."""

    revision: int = 0
    document: ConfigurationDocument = ConfigurationDocument()


CHANGE_ADAPTER: TypeAdapter[AnyChange] = TypeAdapter(AnyChange)


class UnknownName(Exception):
    """A change names a tenant that does not exist."""


def apply_change(
    document: ConfigurationDocument, body: AnyChange, revision: int
) -> ConfigurationDocument:
    """Return the document after the change of ``revision``; raise ``UnknownName``."""
    match body:
        case DeclareProgram():
            return _put(document, "programs", body.name, body.declaration)
        case PutTenant():
            return _put(document, "tenants", body.name, body.tenant)
        case CreatePool():
            return _put(document, "pools", body.name, body.pool)
        case SetBudget():
            return _change_tenant(document, body.tenant, {"budget_tokens": body.budget_tokens})
        case SetPriority():
            return _change_tenant(document, body.tenant, {"priority": body.priority})
        case DrainRunner():
            others = [name for name in document.drained_runners if name != body.runner]
            drained = [*others, body.runner] if body.drain else others
            return document.model_copy(update={"drained_runners": drained})
        case LoadModel():
            order = RunnerOrder(model=body.model, fence=revision)
            return _put(document, "runner_orders", body.runner, order)


def _put(
    document: ConfigurationDocument, section: str, name: str, value: BaseModel
) -> ConfigurationDocument:
    entries = {**getattr(document, section), name: value}
    return document.model_copy(update={section: entries})


def _change_tenant(
    document: ConfigurationDocument, name: str, update: dict[str, int]
) -> ConfigurationDocument:
    if name not in document.tenants:
        raise UnknownName(f"tenant {name!r} does not exist; add it with PUT TENANT first")
    tenant = document.tenants[name].model_copy(update=update)
    return _put(document, "tenants", name, tenant)
