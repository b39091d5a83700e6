"""Soak of real processes: the platform's store fails for some kinds or machines beside changes."""

import asyncio
import random
import signal
import tempfile
import unittest
from dataclasses import dataclass, field, replace
from itertools import pairwise
from pathlib import Path

from bendshed.adapters.http_connection import open_connection
from bendshed.model.service_document import ServiceDocument, WeightedService
from bendshed.platform import names
from bendshed.ports.http_messages import ClientRequest, ConnectFailed, ResponseBroken
from bendshed.rehearsal.site.documents import SITE_HOST, WIDE, key_of, make_document
from bendshed.rehearsal.site.installation import (
    START_LIMIT_S,
    ZONES,
    SiteInstallation,
    SiteProcess,
)
from bendshed.rehearsal.site.registry_fault_world import ALL_KINDS, SMALL_PAGE
from bendshed.rehearsal.site.registry_faults import FaultMode, RegistryFault, mode_of
from bendshed.rehearsal.site.sim_world import APPLY_S, CONTACT_S

SEEDS = ((1, 3),)
"""Seed and number of fronts."""
NUM_STEPS = 5
PROBE_INTERVAL_S = 0.3
MAX_PAUSE_S = 4.0
MAX_FAULT_S = 12.0
STORM_GAP_S = 0.33
CLIENT_WAIT_S = 4.0
ROLLBACK_SLACK_S = 0.25
SETTLED_S = CONTACT_S + 0.5
HTTP_OK, HTTP_MISSING = 200, 404
LOST_LINE = "registry: platform store lost: call failed"
SERVICES = ("tools", "others")
"""Services that the moved route leads to, one after the other."""
ODD_SPECS: tuple[object, ...] = ({}, [], None, {"service": 1}, {"service": "engines", "addr": "x"})


def probe_document(version: int) -> ServiceDocument:
    """A route of this version alone, and one that each version moves."""
    document = make_document(version, has_tenants=True)
    plain = next(route for route in document.routes if route.name == "repeatable")
    added = replace(plain, name=f"added-{version}", path_prefix=f"/v{version}/")
    service = SERVICES[version % len(SERVICES)]
    moved = replace(
        plain, name="moved", path_prefix="/moved/", targets=(WeightedService(service, 1),)
    )
    others = replace(document.services["tools"], name="others")
    return replace(
        document,
        routes=(*document.routes, added, moved),
        services={**document.services, "others": others},
    )


@dataclass(slots=True)
class Probe:
    """A request that shows which version a front has in force.

    Attributes:
        version: whose own route it is sent to; 0: to the moved route.

    """

    request_id: str
    front: str
    life: int
    version: int
    sent_s: float
    ended_s: float = 0.0
    status: int = 0


@dataclass
class FaultSoak:
    """One site under a seeded series of steps."""

    site: SiteInstallation
    rng: random.Random
    num_fronts: int
    probes: list[Probe] = field(default_factory=list)
    acknowledged_s: dict[int, float] = field(default_factory=dict)
    version: int = 1
    lives: dict[str, int] = field(default_factory=dict)
    started_s: dict[str, list[float]] = field(default_factory=dict)
    core_s: list[float] = field(default_factory=list)
    struck_s: list[float] = field(default_factory=list)
    unreadable_s: list[tuple[float, float]] = field(default_factory=list)
    unreadable_since_s: float | None = None
    running: "list[asyncio.Task[None]]" = field(default_factory=list)

    async def run(self, num_steps: int = NUM_STEPS) -> None:
        await self.site.start(num_fronts=self.num_fronts)
        for number in range(2):
            await self.site.add_runner(f"other-{number + 1}", "others", ZONES[number])
        self.site.metadata.page = SMALL_PAGE
        self.publish()
        await self.pause(2 * CONTACT_S)
        probing = asyncio.create_task(self.send_probes())
        self.running.append(probing)
        for _ in range(num_steps):
            await self.disturb()
            await self.pause(self.rng.uniform(0.0, MAX_PAUSE_S))
        self.end_faults()
        await self.pause(CONTACT_S)
        self.publish()
        await self.wait_until_newest_is_served()
        probing.cancel()
        await asyncio.gather(*self.running, return_exceptions=True)

    def now_s(self) -> float:
        return asyncio.get_running_loop().time()

    async def pause(self, for_s: float) -> None:
        """Let a time pass."""
        until_s = self.now_s() + for_s
        await self.site.wait_until(lambda: self.now_s() >= until_s)

    # --- the operator --------------------------------------------------------------------

    def publish(self) -> None:
        self.version += 1
        self.site.publish_document(probe_document(self.version))
        self.acknowledged_s[self.version] = self.now_s()

    async def wait_until_newest_is_served(self) -> None:
        """Wait until every front serves the route of the newest version."""
        async with asyncio.timeout(START_LIMIT_S):
            for front in self.site.fronts.values():
                while (await self.send_probe(front, self.version)).status != HTTP_OK:
                    await self.pause(PROBE_INTERVAL_S)

    # --- disturbances --------------------------------------------------------------------

    async def disturb(self) -> None:
        match self.rng.randrange(10):
            case 0 | 1:
                await self.hold_fault(frozenset({self.rng.choice(ALL_KINDS)}), frozenset())
            case 2 | 3:
                others = frozenset(ALL_KINDS) - {self.rng.choice(ALL_KINDS)}
                await self.hold_fault(others, frozenset())
            case 4:
                await self.hold_fault(frozenset(), self.some_machines())
            case 5:
                await self.hold_fault(frozenset(), self.stores_and_some_fronts())
            case 6:
                await self.put_odd_entries()
            case 7:
                await self.storm()
            case 8:
                process = self.rng.choice([*self.fronts(), *self.site.stores.values()])
                await self.restart([process], self.rng.choice([signal.SIGKILL, signal.SIGTERM]))
            case _:
                with_stores = self.rng.random() < 0.5
                stores = [*self.site.stores.values()] if with_stores else []
                await self.restart([*stores, *self.fronts()], signal.SIGKILL)

    def fronts(self) -> list[SiteProcess]:
        return [*self.site.fronts.values()]

    def some_machines(self) -> frozenset[str]:
        machines = [*self.site.fronts, *self.site.stores]
        return frozenset(self.rng.sample(machines, self.rng.randrange(1, len(machines))))

    def stores_and_some_fronts(self) -> frozenset[str]:
        fronts = [*self.site.fronts]
        struck = self.rng.sample(fronts, self.rng.randrange(0, len(fronts)))
        return frozenset([*self.site.stores, *struck])

    async def hold_fault(self, kinds: frozenset[str], machines: frozenset[str]) -> None:
        """The store fails for a while; changes, and often a restart, come meanwhile."""
        mode = self.rng.choice([*FaultMode])
        self.site.metadata.faults.append(RegistryFault(mode, kinds, machines))
        self.note_fault(kinds)
        until_s = self.now_s() + self.rng.uniform(2.0, MAX_FAULT_S)
        if mode is FaultMode.LATER_PAGES:
            self.site.metadata.forget_history()
        while self.now_s() < until_s:
            await self.pause(self.rng.uniform(0.0, MAX_PAUSE_S))
            self.publish()
            if self.rng.random() < 0.2:
                process = self.rng.choice([*self.fronts(), *self.site.stores.values()])
                await self.restart([process], signal.SIGKILL)
        if self.rng.random() < 0.7:
            self.end_faults()

    def end_faults(self) -> None:
        faults = [*self.site.metadata.faults]
        self.site.metadata.faults.clear()
        for fault in faults:
            self.note_fault(fault.kinds)

    def note_fault(self, kinds: frozenset[str]) -> None:
        """Record that a fault of these kinds began or ended, and times without any reader."""
        if not kinds or names.CONFIGURATION_KIND in kinds:
            self.struck_s.append(self.now_s())
        machines = [*self.site.fronts, *self.site.stores]
        faults, kind = self.site.metadata.faults, names.CONFIGURATION_KIND
        if all(mode_of(faults, machine, kind) is not None for machine in machines):
            self.unreadable_since_s = self.unreadable_since_s or self.now_s()
        elif self.unreadable_since_s is not None:
            self.unreadable_s.append((self.unreadable_since_s, self.now_s()))
            self.unreadable_since_s = None

    async def put_odd_entries(self) -> None:
        """Another writer puts entries that cannot be read, again and again."""
        for _ in range(4):
            for number, spec in enumerate(ODD_SPECS):
                self.site.metadata.put(names.RUNNER_KIND, f"odd-{number}", spec)
            await self.pause(self.rng.uniform(0.3, 1.2))
            self.publish()

    async def storm(self) -> None:
        for _ in range(6):
            self.publish()
            await self.pause(STORM_GAP_S)

    async def restart(self, processes: list[SiteProcess], number: signal.Signals) -> None:
        is_core = any(process.name in self.site.stores for process in processes)
        for process in processes:
            self.started_s.setdefault(process.name, []).append(self.now_s())
        await asyncio.gather(*(process.end(number) for process in processes))
        await self.pause(self.rng.uniform(0.0, 1.0))
        for process in processes:
            self.lives[process.name] = self.lives.get(process.name, 0) + 1
            await process.start()
        for process in processes:
            if process.name in self.site.fronts and not self.site.metadata.faults:
                await self.site.wait_ready(process)
            self.started_s[process.name].append(self.now_s())
        if is_core:
            self.core_s.append(self.now_s())

    # --- clients -------------------------------------------------------------------------

    async def send_probes(self) -> None:
        while True:
            version = self.version
            for front in self.fronts():
                for asked in {version, max(2, version - 1), 0}:
                    probe = asyncio.create_task(self.send_probe(front, asked))
                    self.running.append(probe)  # type: ignore[arg-type]
            await self.pause(PROBE_INTERVAL_S)

    async def send_probe(self, front: SiteProcess, version: int) -> Probe:
        life = self.lives.get(front.name, 0)
        probe = Probe(f"probe-{len(self.probes)}", front.name, life, version, self.now_s())
        self.probes.append(probe)
        target = f"/v{version}/x" if version else "/moved/x"
        headers = [
            (b"host", SITE_HOST.encode()),
            (names.REQUEST_ID, probe.request_id.encode()),
            (names.DEADLINE_MS, b"2000"),
            (names.AUTHORIZATION, f"{names.CREDENTIAL_SCHEME} {key_of(WIDE)}".encode()),
        ]
        request = ClientRequest(b"POST", target.encode(), headers, b"x", lambda _head: True)
        try:
            async with asyncio.timeout(CLIENT_WAIT_S):
                connection = await open_connection(front.front, 1.0)
                try:
                    probe.status = (await connection.send(request)).status
                finally:
                    connection.abort()
        except (ConnectFailed, ResponseBroken, TimeoutError):
            pass
        probe.ended_s = self.now_s()
        return probe

    # --- what must hold ------------------------------------------------------------------

    def went_back(self) -> list[str]:
        """Fronts that served an older version's own route after a newer one's, in one life."""
        found = []
        served = [row for row in self.probes if row.version and row.status == HTTP_OK]
        for newer in served:
            found += [
                f"{older.front} served version {older.version} after {newer.version}"
                for older in served
                if (older.front, older.life) == (newer.front, newer.life)
                and older.version < newer.version
                and older.sent_s > newer.ended_s + ROLLBACK_SLACK_S
            ]
        return found

    def late(self) -> list[str]:
        """Probes that were handled as only an older version allows; judged by hand."""
        service_of = {run.request_id: run.runner_id for run in self.site.seen.runs}
        next_s = {one: self.acknowledged_s[two] for one, two in pairwise(self.acknowledged_s)}
        found = []
        for probe in self.probes:
            newest = max(
                (v for v, at_s in self.acknowledged_s.items() if at_s <= probe.sent_s), default=0
            )
            due = [v for v, at_s in self.acknowledged_s.items() if at_s + APPLY_S < probe.sent_s]
            if not due or not self.is_in_touch(probe):
                continue
            is_old = False
            if probe.version and probe.status == HTTP_OK:
                is_old = probe.version < max(due)
            elif probe.version and probe.status == HTTP_MISSING:
                is_unreplaced = next_s.get(probe.version, float("inf")) > probe.ended_s
                is_old = probe.version == max(due) and is_unreplaced
            elif probe.status == HTTP_OK and newest == max(due):
                is_unreplaced = next_s.get(newest, float("inf")) > probe.ended_s
                runner = service_of.get(probe.request_id, "")
                expected = SERVICES[newest % len(SERVICES)].removesuffix("s")
                is_old = is_unreplaced and bool(runner) and not runner.startswith(expected)
            if is_old:
                after_s = probe.sent_s - self.acknowledged_s[max(due)]
                found.append(
                    f"{probe.front} at {probe.sent_s:.2f}: {probe.version} got {probe.status},"
                    f" {after_s:.2f} s after {max(due)} was acknowledged"
                )
        return found

    def is_in_touch(self, probe: Probe) -> bool:
        """Whether nothing disturbed the front, the stores or reads of the configuration lately."""
        disturbed_s = [
            *(at_s + SETTLED_S for at_s in self.started_s.get(probe.front, [])),
            *(at_s + SETTLED_S + CONTACT_S for at_s in self.core_s),
            *(at_s + SETTLED_S for at_s in self.struck_s),
        ]
        is_unreadable = any(
            from_s <= probe.sent_s <= to_s + SETTLED_S for from_s, to_s in self.unreadable_s
        )
        return not is_unreadable and not any(
            at_s - 3 * SETTLED_S < probe.sent_s < at_s for at_s in disturbed_s
        )


async def play(
    seed: int, num_fronts: int, num_steps: int = NUM_STEPS
) -> tuple[FaultSoak, list[str]]:
    """Play one seed; by hand with others than ``SEEDS``."""
    with tempfile.TemporaryDirectory() as folder:
        soak = FaultSoak(SiteInstallation(Path(folder)), random.Random(seed), num_fronts)
        try:
            await soak.run(num_steps)
            return soak, soak.went_back()
        finally:
            for task in soak.running:
                task.cancel()
            await asyncio.gather(*soak.running, return_exceptions=True)
            await soak.site.stop()


class RegistryFaultSoakTest(unittest.IsolatedAsyncioTestCase):
    # Guards against a version that is never served, or goes back, after faults of the registry.
    async def test_newest_version_is_served_and_none_goes_back(self) -> None:
        for seed, num_fronts in SEEDS:
            soak, back = await play(seed, num_fronts)
            self.assertEqual(back, [], seed)
            self.assertTrue(any(row.status == HTTP_OK for row in soak.probes), seed)

    # Guards against real processes that do not read the configuration while other kinds fail.
    async def test_configuration_is_served_while_other_kinds_fail(self) -> None:
        with tempfile.TemporaryDirectory() as folder:
            soak = FaultSoak(SiteInstallation(Path(folder)), random.Random(1), num_fronts=2)
            try:
                await soak.site.start(num_fronts=2)
                others = frozenset(ALL_KINDS) - {names.CONFIGURATION_KIND}
                soak.site.metadata.faults.append(RegistryFault(FaultMode.REFUSED, others))
                for process in [*soak.site.stores.values(), *soak.fronts()]:
                    await soak.site.wait_for_line(process, LOST_LINE)
                await soak.pause(2 * CONTACT_S)
                soak.publish()
                soak.publish()
                await soak.wait_until_newest_is_served()
            finally:
                await soak.site.stop()
