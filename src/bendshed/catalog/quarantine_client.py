"""Reports runners that ended under requests to replica machines, and learns of others' reports.

A report goes to the machine whose catalog this node follows, which pushes it to all nodes. Pushes
may be lost: each update of the catalog names the version of what its machine knows, and a node that
knows another version exchanges all ends with that machine.
"""

import asyncio
import contextlib
from collections.abc import Callable, Sequence
from typing import Protocol

from bendshed.catalog.quarantine_messages import (
    ENDS_METHOD,
    PUSH_METHOD,
    EndsPush,
    EndsReply,
    EndsRequest,
)
from bendshed.logs import PartLog
from bendshed.model.address import Address
from bendshed.ports.transport import PeerUnreachable, RequestSender, Transport
from bendshed.retries.quarantine import RunnerEnd

REQUEST_TIMEOUT_S = 0.3
"""As long as a try towards a leader of the turn log; a path that is cut is relayed within it."""
HEDGE_S = 0.05
"""Time after which the next machine is asked too. Longer than a round trip within a region and the
time for which a machine collects what it pushes; ends merge however often they arrive."""
MAX_MACHINES_TRIED = 3
RETRY_S = 0.5
EXCHANGE_INTERVAL_S = 1.0
"""Shortest time between two exchanges of all ends; longer than one takes. A machine of an earlier
build answers none of them."""
MAX_PENDING = 1024
"""Ends that wait for a replica machine that answers; the oldest are dropped beyond that."""
MAX_WAIT_S = 0.1
"""Time for which the answer to a request waits until others know which runners ended under it. Some
round trips within a region; an isolated node must not delay its callers by more."""

log = PartLog("quarantine")


class EndSink(Protocol):
    """What knows the ends of this node."""

    def apply_ends(self, ends: Sequence[RunnerEnd]) -> None:
        """Apply ends that another node reported."""

    def all_ends(self) -> list[RunnerEnd]:
        """All ends that this node knows."""


class QuarantineClient:
    """Exchanges ends with replica machines.

    Args:
        sender: sends requests, also through relays.
        transport: delivers pushes.
        machines: replica machines to report to, the preferred first.
        sink: applies what others report.

    """

    def __init__(
        self,
        sender: RequestSender,
        transport: Transport,
        machines: Callable[[], list[Address]],
        sink: EndSink,
    ) -> None:
        self._sender = sender
        self._machines = machines
        self._sink = sink
        self._pending: list[RunnerEnd] = []
        self._known_version: dict[Address, int] = {}
        self._next_exchange_s = 0.0
        self._reporting: asyncio.Task[None] | None = None
        self._exchanging: asyncio.Task[None] | None = None
        self._is_informed = asyncio.Event()
        transport.one_way_handlers[PUSH_METHOD] = self._receive_push

    def report(self, ends: list[RunnerEnd]) -> None:
        """Report ends in the background."""
        self._pending = [*self._pending, *ends][-MAX_PENDING:]
        if self._reporting is None or self._reporting.done():
            self._reporting = asyncio.get_running_loop().create_task(self._report_pending())

    async def wait_reported(self) -> None:
        """Wait until a machine has pushed what was reported, for ``MAX_WAIT_S`` at most."""
        if self._reporting is not None and not self._reporting.done():
            await asyncio.wait([self._reporting], timeout=MAX_WAIT_S)

    async def wait_informed(self) -> None:
        """Wait for the first exchange since the start, for ``MAX_WAIT_S`` at most."""
        if not self._is_informed.is_set():
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(MAX_WAIT_S):
                    await self._is_informed.wait()

    async def _report_pending(self) -> None:
        """Send what waits; ends that arrive meanwhile go together in the next request."""
        num_failed = 0
        while self._pending:
            batch, self._pending = self._pending, []
            if await self._exchange(EndsRequest(tuple(batch), wants_all=False)):
                num_failed = 0
                continue
            self._pending = [*batch, *self._pending][-MAX_PENDING:]
            num_failed += 1
            if num_failed == 1:
                log.say("ends not reported: no replica machine answered", ends=len(batch))
            await asyncio.sleep(RETRY_S)

    async def _exchange(self, request: EndsRequest, only: Address | None = None) -> bool:
        """Send a request until a machine answers, and apply its reply.

        A machine that stands still answers nothing: the next one is asked soon, while the first may
        still answer.
        """
        machines = self._machines()[:MAX_MACHINES_TRIED] if only is None else [only]
        loop = asyncio.get_running_loop()
        asked: set[asyncio.Task[bool]] = set()
        try:
            for machine in machines:
                asked.add(loop.create_task(self._ask(machine, request)))
                if await _wait_for_answer(asked, HEDGE_S):
                    return True
            return await _wait_for_answer(asked, REQUEST_TIMEOUT_S)
        finally:
            for task in asked:
                task.cancel()

    async def _ask(self, machine: Address, request: EndsRequest) -> bool:
        """Send a request to one machine and apply its reply; ``False``: it does not answer."""
        content = request.encode()
        try:
            answer = await self._sender.request(machine, ENDS_METHOD, content, REQUEST_TIMEOUT_S)
        except PeerUnreachable:
            return False
        reply = EndsReply.decode(answer)
        self._sink.apply_ends(reply.ends)
        if request.wants_all:
            self._known_version = {machine: reply.version}
        return True

    def note_version(self, machine: Address, version: int) -> None:
        """Exchange all ends with a machine that knows another version of them than this node.

        A machine that knows none, since it has just started, receives what this node knows.
        """
        if version == self._known_version.get(machine, 0) and not self._knows_more(version):
            self._is_informed.set()
            return
        loop = asyncio.get_running_loop()
        if loop.time() >= self._next_exchange_s:
            self._next_exchange_s = loop.time() + EXCHANGE_INTERVAL_S
            self._exchanging = loop.create_task(self._exchange_all(machine))

    def _knows_more(self, version: int) -> bool:
        return version == 0 and bool(self._sink.all_ends())

    async def _exchange_all(self, machine: Address) -> None:
        known = tuple(self._sink.all_ends())
        if await self._exchange(EndsRequest(known, wants_all=True), only=machine):
            self._is_informed.set()

    def _receive_push(self, payload: bytes) -> None:
        push = EndsPush.decode(payload)
        self._sink.apply_ends(push.ends)
        if self._known_version.get(push.sender, 0) == push.version_before:
            self._known_version = {push.sender: push.version}


async def _wait_for_answer(asked: "set[asyncio.Task[bool]]", timeout_s: float) -> bool:
    """Wait until a machine answers, or none is left; ``False``: none has within the time."""
    loop = asyncio.get_running_loop()
    until_s = loop.time() + timeout_s
    while asked:
        done, _ = await asyncio.wait(
            asked, timeout=until_s - loop.time(), return_when=asyncio.FIRST_COMPLETED
        )
        if not done:
            return False
        asked -= done
        if any(task.result() for task in done):
            return True
    return False
