"""Client of the turn log in a node: sends requests to group leaders and caches transcripts.

Tracks since when no replica has answered. Relies on ``consensus/group_client.py`` to find leaders.
"""

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
    TenantScopedId,
)
from bendshed.wire import turns_pb2 as wire

log = PartLog("turns")

COMMAND_ATTEMPT_TIMEOUT_S = 0.3
"""Timeout of one attempt to commit, which takes a few ms. The timeout is longer for a leader in
another zone or region (``group_client.EXTRA_TIMEOUT_ROUND_TRIPS``)."""
QUERY_ATTEMPT_TIMEOUT_S = 0.2
"""Timeout of one attempt of a request that needs no commit, or of one to admit a call."""
LOSS_LOG_DELAY_S = 0.3
"""A loss of the turn log is logged after this long without any answer. A change of leaders, during
which single attempts fail, is not a loss."""
RETRY_MIN_PAUSE_S = 0.01
RETRY_MAX_PAUSE_S = 0.05
"""Bounds of the random pause between attempts, so that nodes do not retry in lockstep."""
FIND_LEADER_MIN_PAUSE_S = 0.03
FIND_LEADER_PAUSE_FACTOR = 1.5
FIND_LEADER_MAX_PAUSE_S = 0.4
"""Backoff of a starting node that looks for the leader, growing by the factor. A group has one
0.2 s after power returns at the earliest, and hundreds of nodes look for it then."""
FIND_LEADER_ATTEMPTS = 3
"""Replicas tried before each pause: half of them may lead no group and know no leader."""


RETRIED_ANSWERS = (wire.TURN_ANSWER_NOT_LEADER, wire.TURN_ANSWER_UNAVAILABLE)
"""Answers after which a request is retried."""


class TurnClient:
    """Sends requests to the leader of the group that they name; each may safely be repeated.

    Attributes:
        home_group: the group that serves this node's callers; only its silence counts as a loss.
        unreachable_since_s: loop time of the first failed attempt since the last reply; ``None``:
            the last attempt was answered.

    """

    def __init__(
        self,
        rng: random.Random,
        groups: GroupClient,
        is_isolated: Callable[[], bool] = lambda: False,
        home_group: int = TURN_GROUP,
    ) -> None:
        self.home_group = home_group
        self.unreachable_since_s: float | None = None
        self._is_loss_logged = False
        self._is_isolated = is_isolated
        self._rng = rng
        self._groups = groups

    @property
    def is_isolated(self) -> bool:
        """Whether neither replicas nor relays answer this node, so that a retry here is useless."""
        return self._is_isolated()

    async def command(
        self,
        command: wire.TurnCommand,
        timeout_s: float,
        before_attempt: Callable[[], None] = lambda: None,
    ) -> wire.TurnReply:
        """Commit a command; ``before_attempt`` may update it before each attempt.

        Raise ``GroupUnavailable`` if no leader answered in time; the outcome is then unknown.
        """

        command.wait_ms = int(COMMAND_ATTEMPT_TIMEOUT_S * 1000)

        def payload() -> bytes:
            before_attempt()
            return command.SerializeToString()

        min_left_s = self._groups.round_trip_to_leader_s(command.group)
        reply = await self._request_until_decided(
            command.group, TURN_METHOD, payload, COMMAND_ATTEMPT_TIMEOUT_S, timeout_s, min_left_s
        )
        if reply is not None:
            return reply
        raise GroupUnavailable(
            f"no leader of group {command.group} of the turn log answered within {timeout_s:.2f} s"
        )

    async def preview(self, preview: wire.TurnPreview) -> wire.TurnReply | None:
        """Request once the expected reply to a begin; ``None``: no leader answered."""
        payload = preview.SerializeToString()
        reply = await self._request(preview.group, PREVIEW_METHOD, payload, QUERY_ATTEMPT_TIMEOUT_S)
        if reply is not None and reply.answer == wire.TURN_ANSWER_NOT_LEADER:
            return None
        return reply

    async def admit_call(self, request: wire.QuotaAsk, timeout_s: float) -> wire.TurnReply | None:
        """Request the admission of one call, retrying across leader changes; ``None``: no answer.

        Retries are safe: at worst the call counts twice for some seconds.
        """
        return await self._request_until_decided(
            request.group,
            QUOTA_METHOD,
            request.SerializeToString,
            QUERY_ATTEMPT_TIMEOUT_S,
            timeout_s,
        )

    async def request_permit(
        self, request: wire.RunnerAsk, timeout_s: float
    ) -> wire.TurnReply | None:
        """Request a permit for one dispatch to a runner that may be cold; ``None``: no answer.

        Retries are safe: at worst the dispatch counts twice for one second.
        """
        return await self._request_until_decided(
            request.group,
            RUNNER_METHOD,
            request.SerializeToString,
            QUERY_ATTEMPT_TIMEOUT_S,
            timeout_s,
        )

    async def _request_until_decided(
        self,
        group: int,
        method: str,
        payload: Callable[[], bytes],
        attempt_timeout_s: float,
        timeout_s: float,
        min_left_s: float = 0.0,
    ) -> wire.TurnReply | None:
        """Retry a request until a group's leader decides; ``None``: it did not decide in time.

        Args:
            group: group whose leader decides.
            method: method of the request.
            payload: builds the content of each attempt.
            attempt_timeout_s: timeout of one attempt; longer for a distant leader.
            timeout_s: timeout of all attempts together.
            min_left_s: no further attempt is made with this much time left or less.

        """
        loop = asyncio.get_running_loop()
        deadline_s = loop.time() + timeout_s
        while (left_s := deadline_s - loop.time()) > min_left_s:
            reply = await self._request(group, method, payload(), attempt_timeout_s, left_s)
            if reply is not None and reply.answer not in RETRIED_ANSWERS:
                return reply
            await asyncio.sleep(self._rng.uniform(RETRY_MIN_PAUSE_S, RETRY_MAX_PAUSE_S))
        return None

    async def find_leader(self, group: int) -> None:
        """Look for a group's leader until it answers, so that no caller's first turn has to."""
        pause_s = FIND_LEADER_MIN_PAUSE_S
        while True:
            for _ in range(FIND_LEADER_ATTEMPTS):
                if await self.preview(wire.TurnPreview(group=group)) is not None:
                    return
            await asyncio.sleep(pause_s)
            pause_s = min(FIND_LEADER_MAX_PAUSE_S, FIND_LEADER_PAUSE_FACTOR * pause_s)

    @property
    def expected_round_trip_home_s(self) -> float:
        """Expected round trip to the home group's presumed leader, in s; 0: no leader is known."""
        return self._groups.round_trip_to_leader_s(self.home_group)

    async def probe(self) -> None:
        """Send an empty preview, which has no effect, to update ``unreachable_since_s``."""
        await self.preview(wire.TurnPreview(group=self.home_group))

    def _record_contact(self, was_answered: bool) -> None:
        """Track since when no replica answers; log a loss once it has lasted, and its end."""
        now_s = asyncio.get_running_loop().time()
        if was_answered:
            if self._is_loss_logged:
                log.say("turn log regained: a replica answered")
            self.unreachable_since_s = None
            self._is_loss_logged = False
            return
        if self.unreachable_since_s is None:
            self.unreachable_since_s = now_s
        elif not self._is_loss_logged and now_s - self.unreachable_since_s > LOSS_LOG_DELAY_S:
            log.say("turn log lost: no replica answers")
            self._is_loss_logged = True

    async def _request(
        self, group: int, method: str, payload: bytes, timeout_s: float, left_s: float = math.inf
    ) -> wire.TurnReply | None:
        """Send one request to the presumed leader of a group; update the leader from the reply."""
        answer = await self._groups.request_leader(group, method, payload, timeout_s, left_s)
        if group == self.home_group:
            self._record_contact(answer is not None)
        if answer is None:
            return None
        reply = wire.TurnReply.FromString(answer.content)
        if reply.answer == wire.TURN_ANSWER_NOT_LEADER:
            self._groups.follow_hint(group, reply.leader_id, answer.node_id)
        else:
            self._groups.leaders[group] = answer.node_id
        return reply


class TranscriptCache:
    """LRU cache of whole transcripts (a chain's bytes up to one turn), keyed by tenant and turn id.

    A turn's transcript is immutable, so a cached one never becomes stale.
    """

    def __init__(self, max_bytes: int) -> None:
        self._max_bytes = max_bytes
        self._num_bytes = 0
        self._entries: OrderedDict[TenantScopedId, bytes] = OrderedDict()

    def get(self, turn: TenantScopedId) -> bytes | None:
        """Return the transcript up to and including a turn, if cached."""
        found = self._entries.get(turn)
        if found is not None:
            self._entries.move_to_end(turn)
        return found

    def put(self, turn: TenantScopedId, transcript: bytes) -> None:
        """Cache a transcript."""
        old = self._entries.pop(turn, b"")
        self._entries[turn] = transcript
        self._num_bytes += len(transcript) - len(old)
        while self._num_bytes > self._max_bytes:
            _, dropped = self._entries.popitem(last=False)
            self._num_bytes -= len(dropped)
