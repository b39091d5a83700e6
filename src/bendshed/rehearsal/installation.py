"""A small installation of real processes: stand-ins and nodes, for the demo and tests."""

import asyncio
import signal
from dataclasses import dataclass, field
from pathlib import Path

import orjson

from bendshed.adapters.http import HttpClient
from bendshed.identifiers import credential_digest
from bendshed.rehearsal.caller import ask
from bendshed.rehearsal.launcher import HOST, Launcher, Started

CALLER_TOKEN = "rehearsal-caller"
OPERATOR_TOKEN = "rehearsal-operator"
MODEL = "small"
GROUP_COUNT = 4
RUNNERS = ("runner-1", "runner-2")


@dataclass(frozen=True, slots=True)
class NodePlan:
    """One node to start."""

    name: str
    zone: str
    disk: bool


PLAN = (
    NodePlan("node-1", "zone-a", disk=True),
    NodePlan("node-2", "zone-b", disk=True),
    NodePlan("node-3", "zone-c", disk=True),
    NodePlan("node-4", "zone-c", disk=False),
)


@dataclass(slots=True)
class Installation:
    """Processes of one rehearsal.

    Attributes:
        nodes: running nodes by name.
        plans: how each node was started, to start it again.

    """

    folder: Path
    launcher: Launcher
    client: HttpClient
    platform: Started
    tool: Started
    nodes: dict[str, Started] = field(default_factory=dict)
    plans: dict[str, NodePlan] = field(default_factory=dict)

    @classmethod
    async def start(cls, folder: Path) -> "Installation":
        """Start everything and wait until it serves."""
        launcher = Launcher(folder)
        try:
            platform, tool = await asyncio.gather(
                launcher.start("platform", "rehearse", "standin", "platform"),
                launcher.start("tool", "rehearse", "standin", "tool"),
            )
            self = cls(folder, launcher, HttpClient(), platform, tool)
            first, *others = PLAN
            await asyncio.gather(self.start_node(first), *map(self._start_engine, RUNNERS))
            await asyncio.gather(*map(self.start_node, others))
            await self.wait_ready(members=len(PLAN), groups=GROUP_COUNT, runners=len(RUNNERS))
            await self.configure()
        except BaseException:
            await launcher.stop_all()
            raise
        return self

    async def _start_engine(self, runner_id: str) -> None:
        """Start an engine stand-in and list it."""
        started = await self.launcher.start(runner_id, "rehearse", "standin", "engine")
        await self._list(runner_id, "engine", started.url, MODEL)

    async def list_service(self, machine_id: str, service: str) -> None:
        """List the tool stand-in as a machine that runs a declared service."""
        await self._list(machine_id, "service", self.tool.url, service)

    async def _list(self, machine_id: str, kind: str, machine_url: str, model: str) -> None:
        """Write a row of the machine list."""
        row = {
            "machine_id": machine_id,
            "kind": kind,
            "url": machine_url,
            "model": model,
            "zone": "zone-a",
            "leaving": False,
            "incarnation": 1,
        }
        url = f"{self.platform.url}/machines/{machine_id}"
        await self.client.send("PUT", url, orjson.dumps(row))

    async def start_node(self, plan: NodePlan) -> Started:
        """Start a node, or start it again over its old data folder."""
        self.plans[plan.name] = plan
        seeds = [node.peer_address for node in self.nodes.values()]
        lines = [
            "[node]",
            f'name = "{plan.name}"',
            f'zone = "{plan.zone}"',
            f'host = "{HOST}"',
            f"seeds = {orjson.dumps(seeds).decode()}",
        ]
        if plan.disk:
            lines.append(f'data_folder = "{self.folder / plan.name}"')
        lines += [
            "[platform]",
            f'object_api = "{self.platform.url}"',
            f'machine_list = "{self.platform.url}"',
            "machine_list_interval_s = 0.5",
            "[groups]",
            f"count = {GROUP_COUNT}",
            "[operators]",
            f'token_sha256 = "{credential_digest(OPERATOR_TOKEN)}"',
        ]
        path = self.folder / f"{plan.name}.toml"
        path.write_text("\n".join(lines) + "\n")
        started = await self.launcher.start(plan.name, "node", "--settings", str(path))
        self.nodes[plan.name] = started
        return started

    async def kill_node(self, name: str) -> None:
        """End a node with SIGKILL."""
        await self.launcher.stop(self.nodes.pop(name), signal.SIGKILL)

    async def stop_node(self, name: str) -> int:
        """Stop a node in order; return its exit code."""
        return await self.launcher.stop(self.nodes.pop(name))

    async def wait_ready(self, **wanted: int) -> None:
        """Wait until every node sees these numbers."""
        query = "&".join(f"{name}={value}" for name, value in wanted.items())
        for node in self.nodes.values():
            answer = await self.client.send("GET", f"{node.url}/ready?{query}")
            if answer.status != 200:
                raise TimeoutError(f"{node.name} is not ready: {answer.body!r}, wanted {wanted}")

    async def configure(self) -> None:
        """Declare the program kind and the caller's tenant."""
        await self.order(f"DECLARE PROGRAM chat MODELS {MODEL}")
        await self.order(
            f"PUT TENANT desk TOKEN SHA256 '{credential_digest(CALLER_TOKEN)}'"
            " BUDGET 10000000 PRIORITY 1"
        )

    async def order(self, statement: str, node: str = "") -> dict[str, object]:
        """Ask an operators' statement at a node; raise on a refusal."""
        target = self.nodes[node] if node else next(iter(self.nodes.values()))
        status, body = await ask(self.client, target.url, OPERATOR_TOKEN, statement)
        if status != 200:
            raise RuntimeError(f"{statement}: {body}")
        return body

    async def stop(self) -> None:
        """Stop every process that was started."""
        await self.client.close()
        await self.launcher.stop_all()
