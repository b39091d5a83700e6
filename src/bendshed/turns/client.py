"""The executors' side of the turn log: reaches its leader and keeps transcripts at hand."""

import asyncio
import random
from collections import OrderedDict
from collections.abc import Callable

from bendshed.logs import PartLog
from bendshed.programs.client import GroupClient, GroupUnavailable
from bendshed.turns.methods import (
    PREVIEW_METHOD,
    QUOTA_METHOD,
    TURN_GROUP,
    TURN_METHOD,
    Owned,
)
from bendshed.wire import turns_pb2 as wire

log = PartLog("turns")

TRY_TIMEOUT_S = 0.3
"""Longest wait for one replica's reply; a commit takes some ms."""
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
    """Sends commands to the leader; each may be sent again without harm.

    Attributes:
        lost_since_s: loop time of the first try of those that failed since the last reply;
            ``None``: the last try was answered.

    """

    def __init__(
        self,
        rng: random.Random,
        groups: GroupClient,
        is_isolated: Callable[[], bool] = lambda: False,
    ) -> None:
        self.lost_since_s: float | None = None
        self._is_loss_told = False
        self._is_isolated = is_isolated
        self._rng = rng
        self._groups = groups

    @property
    def is_isolated(self) -> bool:
        """Whether no other node has answered for a while: a retry here is of no use."""
        return self._is_isolated()

    async def command(self, command: wire.TurnCommand, timeout_s: float) -> wire.TurnReply:
        """Commit a command.

        Raise ``GroupUnavailable`` when no leader answered in time; the effect is unknown then.
        """
        payload = command.SerializeToString()
        loop = asyncio.get_running_loop()
        give_up_at_s = loop.time() + timeout_s
        while (left_s := give_up_at_s - loop.time()) > 0:
            reply = await self._try_once(payload, min(TRY_TIMEOUT_S, left_s))
            if reply is not None:
                return reply
            await asyncio.sleep(self._rng.uniform(RETRY_MIN_S, RETRY_MAX_S))
        raise GroupUnavailable(f"no leader of the turn log answered within {timeout_s:.2f} s")

    async def preview(self, preview: wire.TurnPreview) -> wire.TurnReply | None:
        """Ask once what a begin would be answered; ``None``: nobody who knows answered."""
        payload = preview.SerializeToString()
        reply = await self._ask(PREVIEW_METHOD, payload, PREVIEW_TIMEOUT_S)
        if reply is not None and reply.answer == wire.TURN_ANSWER_NOT_LEADER:
            return None
        return reply

    async def admit_call(self, ask: wire.QuotaAsk, timeout_s: float) -> wire.TurnReply | None:
        """Ask for one request that is no turn, across a change of leaders; ``None``: no answer.

        An ask may be repeated without harm: at worst it counts twice for some seconds.
        """
        payload = ask.SerializeToString()
        loop = asyncio.get_running_loop()
        give_up_at_s = loop.time() + timeout_s
        while (left_s := give_up_at_s - loop.time()) > 0:
            reply = await self._ask(QUOTA_METHOD, payload, min(PREVIEW_TIMEOUT_S, left_s))
            if reply is not None and reply.answer not in NO_WORD:
                return reply
            await asyncio.sleep(self._rng.uniform(RETRY_MIN_S, RETRY_MAX_S))
        return None

    async def find_leader(self) -> None:
        """Look for the leader until it has answered, so that no caller's first turn must."""
        pause_s = FIND_FIRST_S
        while True:
            for _ in range(FIND_ASKS):
                if await self.preview(wire.TurnPreview()) is not None:
                    return
            await asyncio.sleep(pause_s)
            pause_s = min(FIND_LAST_S, FIND_GROWTH * pause_s)

    async def probe(self) -> None:
        """Ask any replica something harmless; ``lost_since_s`` tells the outcome."""
        await self.preview(wire.TurnPreview())

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

    async def _try_once(self, payload: bytes, timeout_s: float) -> wire.TurnReply | None:
        reply = await self._ask(TURN_METHOD, payload, timeout_s)
        return None if reply is None or reply.answer in NO_WORD else reply

    async def _ask(self, method: str, payload: bytes, timeout_s: float) -> wire.TurnReply | None:
        """Ask the supposed leader; learn from what it says who leads."""
        answer = await self._groups.ask_leader(TURN_GROUP, method, payload, timeout_s)
        self._note(answer is not None)
        if answer is None:
            return None
        reply = wire.TurnReply.FromString(answer.content)
        if reply.answer == wire.TURN_ANSWER_NOT_LEADER:
            self._groups.follow_hint(TURN_GROUP, reply.leader_id, answer.node_id)
        else:
            self._groups.leaders[TURN_GROUP] = answer.node_id
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
