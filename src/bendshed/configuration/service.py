"""Accepts, distributes and stores configuration changes.

A change is accepted when the store has created the object ``configuration/changes/<revision>``;
creating it again fails, so of two concurrent operators one succeeds and the other gets a conflict.
The object never changes, so a lost reply is resolved by reading the key: it holds the operation
id of either this operation or another. A node applies revision n only after n - 1, so the
configuration never reverts, and stale reads from the store have no effect. A few readers per zone
watch the store; all other nodes learn the newest revision by gossip and fetch the missing changes
from the peer that sent it.
"""

import asyncio
import contextlib
import random
from abc import ABC, abstractmethod
from collections.abc import Callable
from dataclasses import dataclass

from bendshed.configuration.document import (
    AcceptedChange,
    AnyChange,
    ConfigurationDocument,
    InvalidReference,
    Snapshot,
    apply_change,
)
from bendshed.errors import ErrorKind, Refusal
from bendshed.logs import PartLog
from bendshed.membership.service import MembershipService
from bendshed.ports.clock import Clock
from bendshed.ports.store import ObjectStore, StoredObject, StoreUnavailable, VersionConflict
from bendshed.ports.transport import PeerUnreachable, Transport
from bendshed.tasks import start_loop
from bendshed.wire import peer_pb2 as wire

CHANGES_PREFIX = "configuration/changes/"
FETCH_METHOD = "configuration.fetch"
REVISION_METHOD = "configuration.revision"
WATCH_TIMEOUT_S = 5.0
"""Longest wait of a watch. A reader whose connection to the store became silent reads the store
again within the 13 s in which a change must be in force everywhere."""
STORE_RETRY_S = 1.0
FETCH_TIMEOUT_S = 2.0
MAX_RECENT_CHANGES = 256
"""Changes kept in memory; a peer that lags by more than these gets a snapshot instead."""
MAX_ATTEMPTS = 5

log = PartLog("configuration")


class UnreadableChange(Exception):
    """The store holds an object among the changes that is none, or one of a later build."""


class ConfigurationCache(ABC):
    """Storage in which a disk node persists the newest configuration."""

    @abstractmethod
    def load(self) -> Snapshot | None:
        """Return the persisted snapshot, or ``None`` if there is none."""

    @abstractmethod
    def save(self, snapshot: Snapshot) -> None:
        """Persist the snapshot durably before returning."""


@dataclass(frozen=True, slots=True)
class Accepted:
    """The change was accepted with this revision."""

    revision: int


@dataclass(frozen=True, slots=True)
class RolloutStatus:
    """On which nodes a revision is in force.

    Attributes:
        num_applied: number of nodes that hold the revision, this node included.
        lagging: node ids that hold an older revision.
        unreachable: node ids that did not reply.

    """

    revision: int
    num_applied: int
    lagging: list[str]
    unreachable: list[str]


class ConfigurationService:
    """Holds the configuration applied on this node.

    Invariant: ``snapshot.revision`` only increases: the next change is applied, or a newer
    snapshot is installed.
    """

    def __init__(
        self,
        store: ObjectStore,
        cache: ConfigurationCache | None,
        membership: MembershipService,
        transport: Transport,
        clock: Clock,
        rng: random.Random,
        readers_per_zone: int,
    ) -> None:
        self.snapshot = Snapshot()
        self._readers_per_zone = readers_per_zone
        self.on_change: list[Callable[[ConfigurationDocument], None]] = []
        self._store = store
        self._cache = cache
        self._membership = membership
        self._transport = transport
        self._clock = clock
        self._rng = rng
        self._recent_changes: dict[int, AcceptedChange] = {}
        self._fetching = False
        self._unreadable_key = ""
        self._task: asyncio.Task[None] | None = None
        self._fetch_tasks: set[asyncio.Task[None]] = set()
        membership.on_revision.append(self._on_revision_seen)
        transport.handlers[FETCH_METHOD] = self._on_fetch
        transport.handlers[REVISION_METHOD] = self._on_revision_request

    @property
    def document(self) -> ConfigurationDocument:
        """The document applied on this node."""
        return self.snapshot.document

    @property
    def is_reader(self) -> bool:
        """Whether this node is one of the nodes of its zone that read the store."""
        readers = self._membership.zone_readers()[: self._readers_per_zone]
        return self._membership.swim.local_member.node_id in readers

    def start(self) -> None:
        """Load the persisted configuration and start following changes."""
        persisted = self._cache.load() if self._cache is not None else None
        if persisted is not None:
            self._install_snapshot(persisted)
        self._task = start_loop(self._watch_forever(), "configuration")

    async def stop(self) -> None:
        """Stop following changes."""
        tasks = [*self._fetch_tasks, *([self._task] if self._task is not None else [])]
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    # --- writing -------------------------------------------------------------------------

    async def submit(self, body: AnyChange, author: str) -> Accepted | Refusal:
        """Submit a change to the store, on top of the newest revision."""
        operation_id = f"{self._rng.getrandbits(96):024x}"
        for _ in range(MAX_ATTEMPTS):
            try:
                await self._catch_up()
                outcome = await self._try_accept(body, author, operation_id)
            except UnreadableChange as error:
                detail = f"{error}; remove that object from the store"
                return Refusal(ErrorKind.STORE_UNAVAILABLE, detail)
            except StoreUnavailable as error:
                return Refusal(
                    ErrorKind.STORE_UNAVAILABLE,
                    f"the store does not answer ({error}); "
                    f"SHOW CONFIGURATION tells later whether operation {operation_id} took effect",
                )
            except InvalidReference as error:
                return Refusal(ErrorKind.NOT_FOUND, str(error))
            if outcome is not None:
                return outcome
        return Refusal(ErrorKind.CONFLICT, "other operators' changes kept winning; ask again")

    async def _try_accept(self, body: AnyChange, author: str, operation_id: str) -> Accepted | None:
        """Create the next revision's object; return ``None`` if another change took it."""
        base = self.snapshot
        revision = base.revision + 1
        apply_change(base.document, body, revision)  # reject invalid changes before writing
        change = AcceptedChange(
            operation_id=operation_id,
            author=author,
            at_ms=self._clock.wall_ms(),
            base_revision=base.revision,
            body=body,
        )
        content = change.model_dump_json().encode()
        try:
            await self._store.create(change_key(revision), content)
        except (VersionConflict, StoreUnavailable):
            return await self._resolve_outcome(revision, operation_id)
        self._apply(revision, change)
        return Accepted(revision)

    async def _resolve_outcome(self, revision: int, operation_id: str) -> Accepted | None:
        """After a conflict or a lost reply, read which change has this revision."""
        for attempt in range(MAX_ATTEMPTS):
            try:
                stored = await self._store.get(change_key(revision))
            except StoreUnavailable:
                if attempt == MAX_ATTEMPTS - 1:
                    raise
                await asyncio.sleep(STORE_RETRY_S)
                continue
            if stored is None:
                return None
            self._apply_objects([stored])
            change = AcceptedChange.model_validate_json(stored.content)
            return Accepted(revision) if change.operation_id == operation_id else None
        return None

    async def wait_for_rollout(self, revision: int, timeout_s: float) -> RolloutStatus:
        """Wait until every live node holds the revision, or until the timeout."""
        loop = asyncio.get_running_loop()
        deadline_s = loop.time() + timeout_s
        while True:
            state = await self._request_revisions(revision)
            if not state.lagging and not state.unreachable:
                return state
            if loop.time() >= deadline_s:
                return state
            await asyncio.sleep(0.2)

    async def _request_revisions(self, revision: int) -> RolloutStatus:
        own_id = self._membership.swim.local_member.node_id
        others = [m.node_id for m in self._membership.view.live() if m.node_id != own_id]
        answers = await asyncio.gather(*(self._request_revision(node) for node in others))
        lagging = [
            n for n, r in zip(others, answers, strict=True) if r is not None and r < revision
        ]
        unreachable = [n for n, r in zip(others, answers, strict=True) if r is None]
        num_applied = 1 + len(others) - len(lagging) - len(unreachable)
        return RolloutStatus(revision, num_applied, lagging, unreachable)

    async def _request_revision(self, node_id: str) -> int | None:
        address = self._membership.view.address(node_id)
        if address is None:
            return None
        request = wire.RevisionRequest().SerializeToString()
        try:
            reply = await self._transport.request(
                address, REVISION_METHOD, request, FETCH_TIMEOUT_S
            )
        except PeerUnreachable:
            return None
        return wire.RevisionReply.FromString(reply).revision

    # --- following -----------------------------------------------------------------------

    async def _watch_forever(self) -> None:
        while True:
            if not self.is_reader:
                await asyncio.sleep(STORE_RETRY_S)
                continue
            try:
                after = change_key(self.snapshot.revision)
                self._apply_objects(await self._store.watch(CHANGES_PREFIX, after, WATCH_TIMEOUT_S))
            except (StoreUnavailable, UnreadableChange):
                await asyncio.sleep(STORE_RETRY_S * self._rng.uniform(0.5, 1.5))

    async def _catch_up(self) -> None:
        after = change_key(self.snapshot.revision)
        self._apply_objects(await self._store.list_after(CHANGES_PREFIX, after))

    def _apply_objects(self, objects: list[StoredObject]) -> None:
        """Apply changes in order; raise ``UnreadableChange`` behind those that could be applied.

        Later changes build on one that cannot be read, so the configuration in force stays.
        """
        for stored in objects:
            try:
                revision = int(stored.key.removeprefix(CHANGES_PREFIX))
                change = AcceptedChange.model_validate_json(stored.content)
            except ValueError as error:
                if stored.key != self._unreadable_key:
                    self._unreadable_key = stored.key
                    log.say("change ignored: unreadable", key=stored.key, reason=str(error))
                raise UnreadableChange(f"{stored.key} cannot be read") from error
            self._apply(revision, change)

    def _apply(self, revision: int, change: AcceptedChange) -> None:
        if revision != self.snapshot.revision + 1:
            return  # already applied, or a gap that a later read fills
        self._recent_changes[revision] = change
        self._recent_changes.pop(revision - MAX_RECENT_CHANGES, None)
        with contextlib.suppress(InvalidReference):
            document = apply_change(self.document, change.body, revision)
            self._install_snapshot(Snapshot(revision=revision, document=document))
            return
        self._install_snapshot(Snapshot(revision=revision, document=self.document))

    def _install_snapshot(self, snapshot: Snapshot) -> None:
        if snapshot.revision <= self.snapshot.revision:
            return
        self.snapshot = snapshot
        if self._cache is not None:
            self._cache.save(snapshot)
        self._membership.broadcast_revision(snapshot.revision)
        for on_change in self.on_change:
            on_change(snapshot.document)

    # --- messages between nodes ----------------------------------------------------------

    def _on_revision_seen(self, node_id: str, revision: int) -> None:
        if revision <= self.snapshot.revision or self._fetching:
            return
        self._fetching = True
        task = asyncio.get_running_loop().create_task(self._fetch(node_id))
        self._fetch_tasks.add(task)
        task.add_done_callback(self._fetch_tasks.discard)

    async def _fetch(self, node_id: str) -> None:
        try:
            address = self._membership.view.address(node_id)
            if address is None:
                return
            request = wire.ConfigurationRequest(have_revision=self.snapshot.revision)
            payload = await self._transport.request(
                address, FETCH_METHOD, request.SerializeToString(), FETCH_TIMEOUT_S
            )
            self._apply_reply(wire.ConfigurationReply.FromString(payload))
        except PeerUnreachable:
            return  # a later gossip message names another peer that holds the revision
        finally:
            self._fetching = False

    def _apply_reply(self, reply: wire.ConfigurationReply) -> None:
        if reply.snapshot_revision > self.snapshot.revision:
            self._install_snapshot(Snapshot.model_validate_json(reply.snapshot))
        for row in reply.changes:
            self._apply(row.revision, AcceptedChange.model_validate_json(row.change))

    async def _on_fetch(self, payload: bytes) -> bytes:
        known_revision = wire.ConfigurationRequest.FromString(payload).have_revision
        revisions = range(known_revision + 1, self.snapshot.revision + 1)
        reply = wire.ConfigurationReply()
        if all(revision in self._recent_changes for revision in revisions):
            for revision in revisions:
                change = self._recent_changes[revision].model_dump_json().encode()
                reply.changes.append(wire.ConfigurationChange(revision=revision, change=change))
        else:
            reply.snapshot_revision = self.snapshot.revision
            reply.snapshot = self.snapshot.model_dump_json().encode()
        return reply.SerializeToString()

    async def _on_revision_request(self, _payload: bytes) -> bytes:
        return wire.RevisionReply(revision=self.snapshot.revision).SerializeToString()


def change_key(revision: int) -> str:
    """Return the store key of a revision's change; keys sort in the order of revisions."""
    return f"{CHANGES_PREFIX}{revision:012d}"
