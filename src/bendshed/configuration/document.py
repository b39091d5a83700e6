"""The configuration document and its changes, validated by pydantic.

A document is the result of applying all changes up to its revision in order. An accepted change
is immutable, so all nodes at one revision hold the same document.
"""

from typing import Annotated, Literal

from pydantic import BaseModel, ConfigDict, Field

from bendshed.configuration.services import (
    LimitsDeclaration,
    Name,
    RouteDeclaration,
    ServiceDeclaration,
)
from bendshed.identifiers import credential_digest

PRIORITY_MIN = 0
PRIORITY_MAX = 9
Priority = Annotated[int, Field(ge=PRIORITY_MIN, le=PRIORITY_MAX)]


class _Value(BaseModel):
    model_config = ConfigDict(frozen=True, extra="forbid")


class ProgramDeclaration(_Value):
    """A kind of program that callers may start.

    Attributes:
        models: models that it may call.
        max_turns, max_seconds, max_tokens: limits of one program of this kind.

    """

    models: list[Name] = Field(min_length=1)
    max_turns: int = Field(default=450, ge=1, le=100_000)
    max_seconds: int = Field(default=86_400, ge=1)
    max_tokens: int = Field(default=10_000_000, ge=1)


class Tenant(_Value):
    """A caller.

    Attributes:
        token_sha256: SHA-256 hash of its bearer token, in hex.
        budget_tokens: tokens that all its programs together may spend.
        priority: 0 is the most urgent.

    """

    token_sha256: Annotated[str, Field(pattern=r"^[0-9a-f]{64}$")]
    budget_tokens: int = Field(ge=0)
    priority: Priority = 5


class Pool(_Value):
    """Engines that serve one model."""

    model: Name
    runners: list[Name]


class RunnerOrder(_Value):
    """An order to a runner to load a model.

    Attributes:
        fence: the configuration revision of the order; lets the runner refuse an older order.

    """

    model: Name
    fence: int


class ConfigurationDocument(_Value):
    """The configuration at one revision."""

    programs: dict[Name, ProgramDeclaration] = {}
    tenants: dict[Name, Tenant] = {}
    pools: dict[Name, Pool] = {}
    drained_runners: list[Name] = []
    runner_orders: dict[Name, RunnerOrder] = {}
    services: dict[Name, ServiceDeclaration] = {}
    routes: dict[Name, RouteDeclaration] = {}
    limits: LimitsDeclaration = LimitsDeclaration()

    def tenant_of_token(self, token: str) -> str | None:
        """Return the name of the tenant with this bearer token."""
        digest = credential_digest(token)
        for name, tenant in self.tenants.items():
            if tenant.token_sha256 == digest:
                return name
        return None


class DeclareProgram(_Value):
    """Declare a kind of program, or replace its declaration."""

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
    """Assign no new work to a runner; ``drain=False`` reverts this."""

    change: Literal["drain_runner"] = "drain_runner"
    runner: Name
    drain: bool = True


class LoadModel(_Value):
    """Order a runner to load a model."""

    change: Literal["load_model"] = "load_model"
    runner: Name
    model: Name


class PutService(_Value):
    """Add or replace a service."""

    change: Literal["put_service"] = "put_service"
    name: Name
    service: ServiceDeclaration


class DropService(_Value):
    """Remove a service; refused while a route names it."""

    change: Literal["drop_service"] = "drop_service"
    name: Name


class PutRoute(_Value):
    """Add or replace a route; its services must exist."""

    change: Literal["put_route"] = "put_route"
    name: Name
    route: RouteDeclaration


class DropRoute(_Value):
    """Remove a route."""

    change: Literal["drop_route"] = "drop_route"
    name: Name


class SetLimits(_Value):
    """Set the limits on requests to routes."""

    change: Literal["set_limits"] = "set_limits"
    limits: LimitsDeclaration


AnyChange = Annotated[
    DeclareProgram
    | PutTenant
    | SetBudget
    | SetPriority
    | CreatePool
    | DrainRunner
    | LoadModel
    | PutService
    | DropService
    | PutRoute
    | DropRoute
    | SetLimits,
    Field(discriminator="change"),
]


class AcceptedChange(_Value):
    """One change as stored, under the key of its revision.

    Attributes:
        operation_id: random id by which the writer recognizes its own accepted change.
        base_revision: revision that the author saw; informational only.

    """

    operation_id: str
    author: str
    at_ms: int
    base_revision: int
    body: AnyChange


class Snapshot(_Value):
    """A document and its revision, as persisted and sent to peers."""

    revision: int = 0
    document: ConfigurationDocument = ConfigurationDocument()


class InvalidReference(Exception):
    """A change names something that does not exist, or removes something that is still in use."""


def apply_change(
    document: ConfigurationDocument, body: AnyChange, revision: int
) -> ConfigurationDocument:
    """Return the document after the change of ``revision``; raise ``InvalidReference``."""
    match body:
        case DeclareProgram():
            return _put(document, "programs", body.name, body.declaration)
        case PutTenant():
            return _put(document, "tenants", body.name, body.tenant)
        case CreatePool():
            return _put(document, "pools", body.name, body.pool)
        case SetBudget():
            return _update_tenant(document, body.tenant, {"budget_tokens": body.budget_tokens})
        case SetPriority():
            return _update_tenant(document, body.tenant, {"priority": body.priority})
        case DrainRunner():
            others = [name for name in document.drained_runners if name != body.runner]
            drained = [*others, body.runner] if body.drain else others
            return document.model_copy(update={"drained_runners": drained})
        case LoadModel():
            order = RunnerOrder(model=body.model, fence=revision)
            return _put(document, "runner_orders", body.runner, order)
        case PutService():
            return _put(document, "services", body.name, body.service)
        case DropService():
            return _drop_service(document, body.name)
        case PutRoute():
            return _put_route(document, body)
        case DropRoute():
            return _drop(document, "routes", body.name)
        case SetLimits():
            return document.model_copy(update={"limits": body.limits})


def _put(
    document: ConfigurationDocument, section: str, name: str, value: BaseModel
) -> ConfigurationDocument:
    entries = {**getattr(document, section), name: value}
    return document.model_copy(update={section: entries})


def _drop(document: ConfigurationDocument, section: str, name: str) -> ConfigurationDocument:
    entries = dict(getattr(document, section))
    if name not in entries:
        raise InvalidReference(f"{section}: {name!r} does not exist; SHOW {section} lists them")
    del entries[name]
    return document.model_copy(update={section: entries})


def _drop_service(document: ConfigurationDocument, name: str) -> ConfigurationDocument:
    for route_name, route in document.routes.items():
        if any(target.service == name for target in route.targets):
            raise InvalidReference(f"route {route_name!r} leads to service {name!r}; drop it first")
    return _drop(document, "services", name)


def _put_route(document: ConfigurationDocument, body: PutRoute) -> ConfigurationDocument:
    for target in body.route.targets:
        if target.service not in document.services:
            detail = f"service {target.service!r} does not exist; add it with PUT SERVICE first"
            raise InvalidReference(detail)
    return _put(document, "routes", body.name, body.route)


def _update_tenant(
    document: ConfigurationDocument, name: str, update: dict[str, int]
) -> ConfigurationDocument:
    if name not in document.tenants:
        raise InvalidReference(f"tenant {name!r} does not exist; add it with PUT TENANT first")
    tenant = document.tenants[name].model_copy(update=update)
    return _put(document, "tenants", name, tenant)
