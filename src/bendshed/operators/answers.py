"""Executes operators' statements, querying all nodes where needed."""

import asyncio
import operator
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

import orjson

from bendshed.configuration.service import Accepted
from bendshed.consensus.group_client import GroupUnavailable
from bendshed.errors import BendshedError, ErrorKind, Refusal
from bendshed.identifiers import group_of
from bendshed.node import Node
from bendshed.operators import language
from bendshed.ports.transport import PeerUnreachable
from bendshed.programs.state import GroupStateMachine
from bendshed.wire import peer_pb2, programs_pb2
from bendshed.wire.peer_pb2 import MemberStatus

STATUS_METHOD = "operators.status"
PEER_TIMEOUT_S = 2.0
IN_FORCE_TIMEOUT_S = 13.0
"""Required time limit for applying a change on all nodes."""
DISTRIBUTED_TABLES = frozenset({"programs", "calls", "groups"})
"""Tables whose rows are spread over several nodes."""

Row = dict[str, Any]

_COMPARISONS: dict[str, Callable[[Any, Any], bool]] = {
    "=": operator.eq,
    "!=": operator.ne,
    "<": operator.lt,
    "<=": operator.le,
    ">": operator.gt,
    ">=": operator.ge,
}


@dataclass(frozen=True, slots=True)
class Answer:
    """Result of a statement: rows, a message and the nodes that did not reply."""

    rows: list[Row] = field(default_factory=list)
    message: str = ""
    silent_nodes: list[str] = field(default_factory=list)


class OperatorService:
    """Executes statements on one node."""

    def __init__(self, node: Node) -> None:
        self._node = node
        node.ports.transport.handlers[STATUS_METHOD] = self._on_status

    async def ask(self, text: str, author: str) -> Answer | Refusal:
        """Parse and execute one statement."""
        statement = language.parse(text)
        match statement:
            case Refusal():
                return statement
            case language.Show():
                return await self._show(statement)
            case language.ExplainCall(program_id, number):
                return await self._explain(program_id, number)
            case language.ChangeConfiguration(body):
                accepted = await self._node.configuration.submit(body, author)
                if isinstance(accepted, Refusal):
                    return accepted
                return await self._wait_and_report(accepted)
            case language.StopProgram(program_id):
                return await self._stop(program_id, author)

    async def require_tenant(self, program_id: str, tenant: str) -> Row:
        """Return the row of a tenant's program; raise a not-found refusal for any other program.

        Raise a group-unavailable refusal if the program is not found while nodes do not reply.
        """
        answer = await self._show(
            language.Show("programs", (language.Condition("program", "=", program_id),))
        )
        if not answer.rows and answer.silent_nodes:
            raise BendshedError(
                Refusal(ErrorKind.GROUP_UNAVAILABLE, "the program's group does not answer")
            )
        if not answer.rows or answer.rows[0]["tenant"] != tenant:
            raise BendshedError(Refusal(ErrorKind.NOT_FOUND, "you have no such program"))
        return answer.rows[0]

    # --- queries -------------------------------------------------------------------------

    async def _show(self, show: language.Show) -> Answer:
        silent: list[str] = []
        if show.table in DISTRIBUTED_TABLES:
            rows, silent = await self._gather(peer_pb2.StatusRequest(what=show.table))
        else:
            rows = self._local_rows(peer_pb2.StatusRequest(what=show.table))
        rows = [row for row in rows if all(_matches(row, c) for c in show.conditions)]
        if show.order_by:
            rows.sort(key=lambda row: _sort_key(row.get(show.order_by)), reverse=show.descending)
        return Answer(rows[: show.limit], "", silent)

    async def _explain(self, program_id: str, number: int) -> Answer:
        request = peer_pb2.StatusRequest(what="explain", program_id=program_id, call_number=number)
        rows, silent = await self._gather(request)
        message = "" if rows else "no node knows this call"
        return Answer(rows, message, silent)

    async def _gather(self, request: peer_pb2.StatusRequest) -> tuple[list[Row], list[str]]:
        """Return the rows of all live nodes and the names of nodes that did not reply."""
        own_node_id = self._node.node_id
        others = [m for m in self._node.membership.view.live() if m.node_id != own_node_id]
        replies = await asyncio.gather(*(self._request_node(m.node_id, request) for m in others))
        rows = self._local_rows(request)
        silent = []
        for member, reply_rows in zip(others, replies, strict=True):
            if reply_rows is None:
                silent.append(member.name)
            else:
                rows.extend(reply_rows)
        return rows, silent

    async def _request_node(
        self, node_id: str, request: peer_pb2.StatusRequest
    ) -> list[Row] | None:
        address = self._node.membership.view.address(node_id)
        if address is None:
            return None
        try:
            payload = await self._node.ports.transport.request(
                address, STATUS_METHOD, request.SerializeToString(), PEER_TIMEOUT_S
            )
        except PeerUnreachable:
            return None
        rows: list[Row] = orjson.loads(peer_pb2.StatusReply.FromString(payload).rows)
        return rows

    async def _on_status(self, payload: bytes) -> bytes:
        rows = self._local_rows(peer_pb2.StatusRequest.FromString(payload))
        return peer_pb2.StatusReply(rows=orjson.dumps(rows)).SerializeToString()

    # --- commands ------------------------------------------------------------------------

    async def _wait_and_report(self, accepted: Accepted) -> Answer:
        state = await self._node.configuration.wait_for_rollout(
            accepted.revision, IN_FORCE_TIMEOUT_S
        )
        members = self._node.membership.view.members
        late_nodes = [
            members[n].name if n in members else n for n in (*state.lagging, *state.unreachable)
        ]
        if late_nodes:
            message = f"accepted as revision {state.revision}; not yet in force on some nodes"
        else:
            message = f"accepted as revision {state.revision}; in force on all {state.num_applied}"
        return Answer([], message, late_nodes)

    async def _stop(self, program_id: str, author: str) -> Answer | Refusal:
        end = programs_pb2.EndProgram(program_id=program_id, reason=f"stopped by {author}")
        try:
            result = await self._node.client.command(
                program_id, programs_pb2.ProgramCommand(end=end), IN_FORCE_TIMEOUT_S
            )
        except GroupUnavailable as error:
            return Refusal(ErrorKind.GROUP_UNAVAILABLE, str(error))
        if result.refused_kind:
            return Refusal(ErrorKind(result.refused_kind), result.refused_detail)
        return Answer([], f"program {program_id} is stopped")

    # --- rows of this node ---------------------------------------------------------------

    def _local_rows(self, request: peer_pb2.StatusRequest) -> list[Row]:
        match request.what:
            case "programs":
                return [_program_row(p) for p in self._led_programs()]
            case "calls":
                return [_call_row(p, c) for p in self._led_programs() for c in p.calls]
            case "explain":
                return self._explain_rows(request.program_id, request.call_number)
            case "runners":
                return self._runner_rows()
            case "nodes":
                return [_node_row(m) for m in self._node.membership.view.members.values()]
            case "groups":
                return self._group_rows()
            case "tenants":
                document = self._node.configuration.document
                return [
                    {"tenant": name, "budget_tokens": t.budget_tokens, "priority": t.priority}
                    for name, t in document.tenants.items()
                ]
            case "pools":
                document = self._node.configuration.document
                return [{"pool": n, **p.model_dump()} for n, p in document.pools.items()]
            case "services" | "routes":
                return self._declared_rows(request.what)
            case "configuration":
                snapshot = self._node.configuration.snapshot
                return [
                    {"revision": snapshot.revision, "program": name, **p.model_dump()}
                    for name, p in snapshot.document.programs.items()
                ]
        return []

    def _led_programs(self) -> list[programs_pb2.ProgramRecord]:
        host = self._node.host
        if host is None:
            return []
        states = [host.groups[group].state for group in host.led_groups()]
        return [
            program
            for state in states
            if isinstance(state, GroupStateMachine)
            for program in state.programs.values()
        ]

    def _explain_rows(self, program_id: str, number: int) -> list[Row]:
        group = group_of(program_id, self._node.client.group_count)
        rows = [
            {
                "seen_by": self._node.settings.node.name,
                "role": "group leader",
                "group": group,
                **_call_row(program, call),
            }
            for program in self._led_programs()
            if program.program_id == program_id
            for call in program.calls
            if call.number == number
        ]
        for waiting in self._node.scheduler.waiting:
            if waiting.program_id == program_id:
                rows.append(
                    {
                        "seen_by": self._node.settings.node.name,
                        "role": "executor",
                        "program": program_id,
                        "waits_for": "a free slot",
                        "candidates": self._node.scheduler.explain(waiting),
                    }
                )
        return rows

    def _runner_rows(self) -> list[Row]:
        return [
            {
                "runner": name,
                "model": r.machine.model,
                "zone": r.machine.zone,
                "leaving": r.leaving,
                "drained": r.drained,
                "expected_load": r.expected_load,
                "slots": r.slots,
                "own_in_flight": r.own_in_flight,
            }
            for name, r in self._node.table.runners.items()
        ]

    def _declared_rows(self, table: str) -> list[Row]:
        declared = getattr(self._node.configuration.document, table)
        key = table.removesuffix("s")
        return [{key: name, **value.model_dump()} for name, value in declared.items()]

    def _group_rows(self) -> list[Row]:
        host = self._node.host
        if host is None:
            return []
        return [
            {
                "group": group_id,
                "leader": self._node.settings.node.name,
                "term": group.replica.term,
                "commit_index": group.replica.commit_index,
                "voters": list(group.replica.membership.voters),
                "learners": list(group.replica.membership.learners),
            }
            for group_id, group in host.groups.items()
            if group_id in host.led_groups()
        ]


def _program_row(program: programs_pb2.ProgramRecord) -> Row:
    return {
        "program": program.program_id,
        "kind": program.program_kind,
        "tenant": program.tenant,
        "calls": len(program.calls),
        "spent_tokens": program.spent_tokens,
        "reserved_tokens": program.reserved_tokens,
        "max_tokens": program.limits.max_tokens,
        "last_runner": program.last_runner,
        "ended": program.ended_reason,
    }


def _call_row(program: programs_pb2.ProgramRecord, call: programs_pb2.CallRecord) -> Row:
    status = programs_pb2.CallStatus.Name(call.status).removeprefix("CALL_STATUS_").lower()
    return {
        "program": program.program_id,
        "call": call.number,
        "branch": call.branch,
        "status": status,
        "attempt": call.attempt,
        "runner": call.runner,
        "executor": call.executor,
        "unrepeatable": call.unrepeatable,
        "prompt_tokens": call.prompt_tokens,
        "answer_tokens": call.answer_tokens,
        "cached_tokens": call.cached_tokens,
        "error": call.error_kind,
    }


def _node_row(member: peer_pb2.Member) -> Row:
    status = MemberStatus.Name(member.status).removeprefix("MEMBER_STATUS_").lower()
    return {
        "node": member.name,
        "node_id": member.node_id,
        "zone": member.zone,
        "region": member.region,
        "status": status,
        "disk": member.has_disk,
        "address": f"{member.host}:{member.peer_port}",
        "http_port": member.http_port,
    }


def _matches(row: Row, condition: language.Condition) -> bool:
    actual = row.get(condition.field)
    expected: Any = condition.value
    if isinstance(actual, bool):
        expected = str(expected).lower() == "true"
    if actual is None or isinstance(actual, str) != isinstance(expected, str):
        return False
    return _COMPARISONS[condition.comparison](actual, expected)


def _sort_key(value: Any) -> tuple[str, Any]:
    return (type(value).__name__, value)
