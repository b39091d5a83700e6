"""The executors' side of the turn log: reaches its leader and keeps transcripts at hand."""

import asyncio
import math
import random
from collections import OrderedDict
from collections.abc import Callable

from bendshed.consensus.group_client import GroupClient, GroupUnavailable
from bendshed.logs import PartLog
from bendshed.turns.methods import (
    PREVIEW_METHOD,
    QUOTA_METHOD,
    RUNNER_METHOD,
    TURN_GROUP,
    TURN_METHOD,
    Owned,
)
from bendshed.wire import turns_pb2 as wire

log = PartLog("turns")

TRY_TIMEOUT_S = 0.3
"""Longest wait for a neighbour's reply, as is the next; a commit takes some ms."""
PREVIEW_TIMEOUT_S = 0.2
LOSS_TOLD_S = 0.3
"""After this long without any answer a line tells it."""
RETRY_MIN_S = 0.01
RETRY_MAX_S = 0.05
FIND_FIRST_S = 0.03
FIND_GROWTH = 1.5
FIND_LAST_S = 0.4
"""Pauses while a node that has started looks for the leader: a leader is there 0.2 s after power at
the earliest, and hundreds of nodes ask then."""
FIND_ASKS = 3
"""Replicas asked in a row before each pause: half of them may lead nothing and know nobody."""


NO_WORD = (wire.TURN_ANSWER_NOT_LEADER, wire.TURN_ANSWER_UNAVAILABLE)
"""Answers after which a command is sent again."""


class TurnClient:
    """Sends commands to the leader of the group that they name; each may be sent again.

    Attributes:
        home_group: the group that serves this node's callers; only its silence is a loss.
        lost_since_s: loop time of the first try of those that failed since the last reply;
            ``None``: the last try was answered.

    """

    def __init__(
        self,
        rng: random.Random,
        groups: GroupClient,
        is_isolated: Callable[[], bool] = lambda: False,
        home_group: int = TURN_GROUP,
    ) -> None:
        self.home_group = home_group
        self.lost_since_s: float | None = None
        self._is_loss_told = False
        self._is_isolated = is_isolated
        self._rng = rng
        self._groups = groups

    @property
    def is_isolated(self) -> bool:
        """Whether no other node has answered for a while: a retry here is of no use."""
        return self._is_isolated()

    async def command(
        self,
        command: wire.TurnCommand,
        timeout_s: float,
        before_try: Callable[[], None] = lambda: None,
    ) -> wire.TurnReply:
        """Commit a command; ``before_try`` may bring it up to date before each try.

        Raise ``GroupUnavailable`` when no leader answered in time; the effect is unknown then.
        """
        loop = asyncio.get_running_loop()
        give_up_at_s = loop.time() + timeout_s
        expected_round_trip_s = self._groups.round_trip_to_leader_s(command.group)
        while (left_s := give_up_at_s - loop.time()) > expected_round_trip_s:
            before_try()
            payload = command.SerializeToString()
            reply = await self._try_once(command.group, payload, left_s)
            if reply is not None:
                return reply
            await asyncio.sleep(self._rng.uniform(RETRY_MIN_S, RETRY_MAX_S))
        raise GroupUnavailable(
            f"no leader of group {command.group} of the turn log answered within {timeout_s:.2f} s"
        )

    async def preview(self, preview: wire.TurnPreview) -> wire.TurnReply | None:
        """Ask once what a begin would be answered; ``None``: nobody who knows answered."""
        payload = preview.SerializeToString()
        reply = await self._ask(preview.group, PREVIEW_METHOD, payload, PREVIEW_TIMEOUT_S)
        if reply is not None and reply.answer == wire.TURN_ANSWER_NOT_LEADER:
            return None
        return reply

    async def admit_call(self, ask: wire.QuotaAsk, timeout_s: float) -> wire.TurnReply | None:
        """Ask for one request that is no turn, across a change of leaders; ``None``: no answer.

        An ask may be repeated without harm: at worst it counts twice for some seconds.
        """
        return await self._ask_again(ask.group, QUOTA_METHOD, ask.SerializeToString(), timeout_s)

    async def place(self, ask: wire.RunnerAsk, timeout_s: float) -> wire.TurnReply | None:
        """Ask for leave to send one request to a runner that may be cold; ``None``: no answer.

        An ask may be repeated without harm: at worst it counts twice for a second.
        """
        return await self._ask_again(ask.group, RUNNER_METHOD, ask.SerializeToString(), timeout_s)

    async def _ask_again(
        self, group: int, method: str, payload: bytes, timeout_s: float
    ) -> wire.TurnReply | None:
        """Ask until a group's leader answers."""
        loop = asyncio.get_running_loop()
        give_up_at_s = loop.time() + timeout_s
        while (left_s := give_up_at_s - loop.time()) > 0:
            reply = await self._ask(group, method, payload, PREVIEW_TIMEOUT_S, left_s)
            if reply is not None and reply.answer not in NO_WORD:
                return reply
            await asyncio.sleep(self._rng.uniform(RETRY_MIN_S, RETRY_MAX_S))
        return None

    async def find_leader(self, group: int) -> None:
        """Look for a group's leader until it has answered, so that no caller's first turn must."""
        pause_s = FIND_FIRST_S
        while True:
            for _ in range(FIND_ASKS):
                if await self.preview(wire.TurnPreview(group=group)) is not None:
                    return
            await asyncio.sleep(pause_s)
            pause_s = min(FIND_LAST_S, FIND_GROWTH * pause_s)

    @property
    def expected_round_trip_home_s(self) -> float:
        """The round trip to the home group's supposed leader."""
        return self._groups.round_trip_to_leader_s(self.home_group)

    async def probe(self) -> None:
        """Ask any replica something harmless; ``lost_since_s`` tells the outcome."""
        await self.preview(wire.TurnPreview(group=self.home_group))

    def _note(self, was_answered: bool) -> None:
        """Remember since when nobody answers; single failures around a failover are not told."""
        now_s = asyncio.get_running_loop().time()
        if was_answered:
            if self._is_loss_told:
                log.say("regained the turn log")
            self.lost_since_s = None
            self._is_loss_told = False
            return
        if self.lost_since_s is None:
            self.lost_since_s = now_s
        elif not self._is_loss_told and now_s - self.lost_since_s > LOSS_TOLD_S:
            log.say("no replica of the turn log answers")
            self._is_loss_told = True

    async def _try_once(self, group: int, payload: bytes, left_s: float) -> wire.TurnReply | None:
        reply = await self._ask(group, TURN_METHOD, payload, TRY_TIMEOUT_S, left_s)
        return None if reply is None or reply.answer in NO_WORD else reply

    async def _ask(
        self, group: int, method: str, payload: bytes, timeout_s: float, left_s: float = math.inf
    ) -> wire.TurnReply | None:
        """Ask the supposed leader of a group; learn from what it says who leads."""
        answer = await self._groups.request_leader(group, method, payload, timeout_s, left_s)
        if group == self.home_group:
            self._note(answer is not None)
        if answer is None:
            return None
        reply = wire.TurnReply.FromString(answer.content)
        if reply.answer == wire.TURN_ANSWER_NOT_LEADER:
            self._groups.follow_hint(group, reply.leader_id, answer.node_id)
        else:
            self._groups.leaders[group] = answer.node_id
        return reply


class TranscriptCache:
    """Whole transcripts (a chain's bytes up to one turn), the longest unused given up first.

    A turn's transcript never changes, so a held one is never wrong. A turn is named by its tenant
    and its id.
    """

    def __init__(self, max_bytes: int) -> None:
        self._max_bytes = max_bytes
        self._num_bytes = 0
        self._entries: OrderedDict[Owned, bytes] = OrderedDict()

    def get(self, turn: Owned) -> bytes | None:
        """Return the transcript up to and with a turn, if held."""
        found = self._entries.get(turn)
        if found is not None:
            self._entries.move_to_end(turn)
        return found

    def put(self, turn: Owned, transcript: bytes) -> None:
        """Hold a transcript."""
        old = self._entries.pop(turn, b"")
        self._entries[turn] = transcript
        self._num_bytes += len(transcript) - len(old)
        while self._num_bytes > self._max_bytes:
            _, dropped = self._entries.popitem(last=False)
            self._num_bytes -= len(dropped)
