"""Parses the operators' language into typed statements (grammar by lark)."""

from dataclasses import dataclass
from functools import cache
from importlib.resources import files
from typing import Any

from lark import Lark, Token, Transformer
from lark.exceptions import UnexpectedCharacters, UnexpectedEOF, UnexpectedInput, UnexpectedToken
from pydantic import ValidationError

from bendshed.configuration.document import (
    AnyChange,
    CreatePool,
    DeclareProgram,
    DrainRunner,
    DropRoute,
    DropService,
    LoadModel,
    Pool,
    ProgramDeclaration,
    PutRoute,
    PutService,
    PutTenant,
    SetBudget,
    SetLimits,
    SetPriority,
    Tenant,
)
from bendshed.configuration.services import (
    LimitsDeclaration,
    RouteDeclaration,
    ServiceDeclaration,
    TargetDeclaration,
)
from bendshed.errors import ErrorKind, Refusal


@dataclass(frozen=True, slots=True)
class Condition:
    """Row filter ``field comparison value``."""

    field: str
    comparison: str
    value: str | int


@dataclass(frozen=True, slots=True)
class Show:
    """Query for rows of one table."""

    table: str
    conditions: tuple[Condition, ...] = ()
    order_by: str = ""
    descending: bool = False
    limit: int | None = None


@dataclass(frozen=True, slots=True)
class ExplainCall:
    """Query for a call's state and what it waits for."""

    program_id: str
    call_number: int


@dataclass(frozen=True, slots=True)
class ChangeConfiguration:
    """Command that changes the configuration."""

    body: AnyChange


@dataclass(frozen=True, slots=True)
class StopProgram:
    """Command that ends a program."""

    program_id: str


Statement = Show | ExplainCall | ChangeConfiguration | StopProgram


def parse(text: str) -> Statement | Refusal:
    """Parse one statement; a refusal names the error's position and the expected tokens."""
    try:
        tree = _load_parser().parse(text)
        statement: Statement = _StatementBuilder().transform(tree)
        return statement
    except UnexpectedInput as error:
        return Refusal(ErrorKind.BAD_REQUEST, _describe_syntax_error(text, error))
    except Exception as error:
        cause = getattr(error, "orig_exc", error)
        if isinstance(cause, ValidationError):
            row = cause.errors()[0]
            field = ".".join(str(part) for part in row["loc"])
            return Refusal(ErrorKind.BAD_REQUEST, f"{field}: {row['msg']}")
        raise


@cache
def _load_parser() -> Lark:
    grammar = (files("bendshed.operators") / "grammar.lark").read_text()
    return Lark(grammar, parser="lalr", lexer="contextual")


def _describe_syntax_error(text: str, error: UnexpectedInput) -> str:
    expected: set[str] = set()
    position = "somewhere"
    if isinstance(error, UnexpectedEOF):
        expected, position = {str(name) for name in error.expected}, "at the end"
    elif isinstance(error, UnexpectedToken):
        expected = set(error.accepts or error.expected)
        position = f"at column {error.column}" if error.token.type != "$END" else "at the end"
    elif isinstance(error, UnexpectedCharacters):
        expected, position = set(error.allowed or ()), f"at column {error.column}"
    names = ", ".join(sorted(str(name) for name in expected if name != "$END"))
    excerpt = text.strip() or "(empty)"
    return f"cannot read {excerpt!r} {position}; expected: {names}"


class _StatementBuilder(Transformer[Token, Statement]):
    """Builds statements from parse trees; each method is named after its grammar rule."""

    def start(self, items: list[Statement]) -> Statement:
        return items[0]

    def bare_name(self, items: list[Token]) -> str:
        return str(items[0])

    def quoted_name(self, items: list[Token]) -> str:
        return str(items[0])[1:-1]

    def number(self, items: list[Token]) -> int:
        return int(items[0])

    def names(self, items: list[str]) -> list[str]:
        return list(items)

    def condition(self, items: list[Token]) -> Condition:
        return Condition(str(items[0]), str(items[1]), items[2])

    def where(self, items: list[Condition]) -> tuple[Condition, ...]:
        return tuple(items)

    def order(self, items: list[Token]) -> tuple[str, bool]:
        return (str(items[0]), len(items) > 1)

    def limit(self, items: list[Token]) -> int:
        return int(items[0])

    def show(self, items: list[object]) -> Show:
        show = Show(str(items[0]).lower())
        for item in items[1:]:
            match item:
                case int():
                    show = Show(show.table, show.conditions, show.order_by, show.descending, item)
                case (str() as field, bool() as descending):
                    show = Show(show.table, show.conditions, field, descending, show.limit)
                case tuple():
                    show = Show(show.table, item)
        return show

    def explain(self, items: list[Token]) -> ExplainCall:
        return ExplainCall(str(items[0]), int(items[1]))

    def turns(self, items: list[Token]) -> tuple[str, int]:
        return ("max_turns", int(items[0]))

    def seconds(self, items: list[Token]) -> tuple[str, int]:
        return ("max_seconds", int(items[0]))

    def tokens(self, items: list[Token]) -> tuple[str, int]:
        return ("max_tokens", int(items[0]))

    def declare(self, items: list[Any]) -> ChangeConfiguration:
        name, models, *limits = items
        declaration = ProgramDeclaration.model_validate({"models": models, **dict(limits)})
        return ChangeConfiguration(DeclareProgram(name=name, declaration=declaration))

    def put_tenant(self, items: list[Token]) -> ChangeConfiguration:
        fields = {"token_sha256": str(items[1])[1:-1], "budget_tokens": int(items[2])}
        if len(items) > 3:
            fields["priority"] = int(items[3])
        tenant = Tenant.model_validate(fields)
        return ChangeConfiguration(PutTenant(name=str(items[0]), tenant=tenant))

    def set_budget(self, items: list[Token]) -> ChangeConfiguration:
        return ChangeConfiguration(SetBudget(tenant=str(items[0]), budget_tokens=int(items[1])))

    def set_priority(self, items: list[Token]) -> ChangeConfiguration:
        return ChangeConfiguration(SetPriority(tenant=str(items[0]), priority=int(items[1])))

    def drain(self, items: list[str]) -> ChangeConfiguration:
        return ChangeConfiguration(DrainRunner(runner=items[0]))

    def resume(self, items: list[str]) -> ChangeConfiguration:
        return ChangeConfiguration(DrainRunner(runner=items[0], drain=False))

    def create_pool(self, items: list[object]) -> ChangeConfiguration:
        name, model, runners = items
        pool = Pool.model_validate({"model": model, "runners": runners})
        return ChangeConfiguration(CreatePool(name=str(name), pool=pool))

    def stop(self, items: list[str]) -> StopProgram:
        return StopProgram(items[0])

    def load_model(self, items: list[str]) -> ChangeConfiguration:
        return ChangeConfiguration(LoadModel(model=items[0], runner=items[1]))

    # --- services and routes -------------------------------------------------------------

    def slots(self, items: list[Token]) -> int:
        return int(items[0])

    def put_service(self, items: list[Any]) -> ChangeConfiguration:
        fields = {"slots": items[1]} if len(items) > 1 else {}
        service = ServiceDeclaration.model_validate(fields)
        return ChangeConfiguration(PutService(name=items[0], service=service))

    def drop_service(self, items: list[str]) -> ChangeConfiguration:
        return ChangeConfiguration(DropService(name=items[0]))

    def target(self, items: list[Any]) -> TargetDeclaration:
        weight = int(items[1]) if len(items) > 1 else 1
        return TargetDeclaration(service=items[0], weight=weight)

    def targets(self, items: list[TargetDeclaration]) -> list[TargetDeclaration]:
        return list(items)

    def route_kind(self, items: list[Token]) -> tuple[str, str]:
        return ("kind", str(items[0]).lower())

    def route_timeout(self, items: list[Token]) -> tuple[str, int]:
        return ("timeout_ms", int(items[0]))

    def route_priority(self, items: list[Token]) -> tuple[str, int]:
        return ("priority", int(items[0]))

    def route_attempts(self, items: list[Token]) -> tuple[str, int]:
        return ("max_attempts", int(items[0]))

    def route_sticky(self, _items: list[Token]) -> tuple[str, bool]:
        return ("is_sticky", True)

    def put_route(self, items: list[Any]) -> ChangeConfiguration:
        name, host, prefix, targets, *options = items
        fields = {"host": host, "path_prefix": str(prefix)[1:-1], "targets": targets}
        route = RouteDeclaration.model_validate({**fields, **dict(options)})
        return ChangeConfiguration(PutRoute(name=name, route=route))

    def drop_route(self, items: list[str]) -> ChangeConfiguration:
        return ChangeConfiguration(DropRoute(name=items[0]))

    def set_limits(self, items: list[Token]) -> ChangeConfiguration:
        limits = LimitsDeclaration(max_body_bytes=int(items[0]))
        return ChangeConfiguration(SetLimits(limits=limits))
