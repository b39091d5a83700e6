"""Parses and validates chat-completions requests."""

from collections.abc import Mapping
from typing import Annotated, Any

import orjson
from pydantic import BaseModel, ConfigDict, Field, ValidationError

from bendshed.configuration.document import ConfigurationDocument, Tenant
from bendshed.dispatch.calls import CallRequest
from bendshed.errors import ErrorKind, Refusal
from bendshed.identifiers import content_digest
from bendshed.settings.model import ProgramsSection
from bendshed.wire import programs_pb2 as wire

HEADER_PREFIX = "x-bendshed-"
DEFAULT_PROGRAM_KIND = "chat"
MAX_PRIORITY = 9

Identifier = Annotated[str, Field(pattern=r"^[A-Za-z0-9][A-Za-z0-9._-]{0,127}$")]


class ChatBody(BaseModel):
    """Fields of the request body that are used; other fields of the API are ignored."""

    model_config = ConfigDict(extra="ignore")

    model: Annotated[str, Field(min_length=1)]
    messages: list[dict[str, Any]] = Field(min_length=1)
    stream: bool = False
    max_tokens: Annotated[int, Field(ge=1)] | None = None
    max_completion_tokens: Annotated[int, Field(ge=1)] | None = None


class CallHeaders(BaseModel):
    """The ``X-Bendshed-*`` headers and ``Idempotency-Key``.

    Attributes:
        program: program id; without it the call forms a program of its own.
        program_kind: name under which operators declared the program.
        call: sequence number of the call within the whole program, from 1.
        end: whether the program ends with this call.

    """

    model_config = ConfigDict(extra="forbid")

    program: Identifier | None = None
    program_kind: Identifier = DEFAULT_PROGRAM_KIND
    branch: Identifier = "main"
    parent_branch: Identifier = "main"
    call: Annotated[int, Field(ge=1)] = 1
    unrepeatable: bool = False
    deadline_seconds: Annotated[float, Field(gt=0, le=86_400)] | None = None
    priority: Annotated[int, Field(ge=0, le=MAX_PRIORITY)] | None = None
    end: bool = False
    idempotency_key: Annotated[str, Field(min_length=1, max_length=255)] | None = None


class ParsedCall(BaseModel):
    """A valid call and the delivery options that its caller requested."""

    model_config = ConfigDict(arbitrary_types_allowed=True, frozen=True)

    call: CallRequest
    stream: bool
    end_program: bool


def parse_call(
    content: bytes,
    headers: Mapping[str, str],
    tenant_name: str,
    document: ConfigurationDocument,
    defaults: ProgramsSection,
    now_ms: int,
    request_id: str,
) -> ParsedCall | Refusal:
    """Parse a request and validate it against the configuration in force."""
    try:
        body = ChatBody.model_validate_json(content)
        fields = CallHeaders.model_validate(headers)
    except ValidationError as error:
        return Refusal(ErrorKind.BAD_REQUEST, _describe_errors(error))
    declaration = document.programs.get(fields.program_kind)
    if declaration is None:
        return Refusal(
            ErrorKind.PROGRAM_NOT_DECLARED,
            f"programs of kind {fields.program_kind!r} are not declared; "
            "an operator declares them with DECLARE PROGRAM",
        )
    if body.model not in declaration.models:
        return Refusal(
            ErrorKind.MODEL_NOT_ALLOWED,
            f"programs of kind {fields.program_kind!r} may not call model {body.model!r}; "
            f"allowed: {', '.join(declaration.models)}",
        )
    tenant = document.tenants[tenant_name]
    messages = tuple(_to_message(message) for message in body.messages)
    program_id = fields.program or f"single-{request_id}"
    deadline_s = fields.deadline_seconds or defaults.default_deadline_s
    max_tokens = body.max_completion_tokens or body.max_tokens
    call = CallRequest(
        program_id=program_id,
        program_kind=fields.program_kind,
        tenant=tenant_name,
        branch=fields.branch,
        parent_branch=fields.parent_branch,
        call_number=fields.call,
        idempotency_key=fields.idempotency_key or f"{program_id}/{fields.call}",
        body_digest=content_digest(
            body.model, *(m.SerializeToString(deterministic=True).hex() for m in messages)
        ),
        messages=messages,
        unrepeatable=fields.unrepeatable,
        deadline_ms=now_ms + int(deadline_s * 1000),
        max_answer_tokens=max_tokens or defaults.default_max_answer_tokens,
        priority=_priority(tenant, fields.priority),
        model=body.model,
        request_id=request_id,
        limits=wire.ProgramLimits(
            max_turns=declaration.max_turns,
            max_seconds=declaration.max_seconds,
            max_tokens=declaration.max_tokens,
        ),
    )
    return ParsedCall(call=call, stream=body.stream, end_program=fields.end)


def call_headers(pairs: Mapping[str, str]) -> dict[str, str]:
    """Extract the headers of ``CallHeaders``, keyed by field name."""
    fields = {
        name.removeprefix(HEADER_PREFIX).replace("-", "_"): value
        for name, value in pairs.items()
        if name.startswith(HEADER_PREFIX)
    }
    if "idempotency-key" in pairs:
        fields["idempotency_key"] = pairs["idempotency-key"]
    return fields


def _priority(tenant: Tenant, requested: int | None) -> int:
    """Return the call's priority; a caller may lower its tenant's urgency but not raise it."""
    return tenant.priority if requested is None else max(tenant.priority, requested)


def _to_message(message: dict[str, Any]) -> wire.ChatMessage:
    extra = {key: value for key, value in message.items() if key not in ("role", "content")}
    content = message.get("content")
    if content is not None and not isinstance(content, str):
        extra["content"] = content  # content parts are passed through unparsed
        content = ""
    return wire.ChatMessage(
        role=str(message.get("role", "user")),
        content=content or "",
        extra_json=orjson.dumps(extra, option=orjson.OPT_SORT_KEYS).decode() if extra else "",
    )


def _describe_errors(error: ValidationError) -> str:
    """List all validation errors as ``field: message``, separated by semicolons."""
    rows = []
    for row in error.errors():
        field = ".".join(str(part) for part in row["loc"]) or "body"
        rows.append(f"{field}: {row['msg']}")
    return "; ".join(rows)
