"""One connection in three to the platform's store goes silent; a front serves an old configuration."""

import asyncio
import os
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "standins"))

from loopback_site import (  # noqa: E402
    CouldNotRun,
    Process,
    Site,
    plain_route,
    plain_service,
    play,
    send,
)

CONTACT_S, APPLY_S, MAX_SKEW_S = 3.0, 2.0, 5.0
"""contactMs, applyMs, and maxSkewMs, by which an unstable core may stretch the bound."""
STRUCK = ("front-1", os.environ.get("STRUCK_STORE", "store-1"))
MAX_SHARE, MAX_X = 0.35, 0.55
"""Of the machines, and of the connections of each: the largest dose of reset_conns in a site file."""
WATCHED_S = 12.0


def routes(version: int) -> list[dict]:
    """Version 2 drops one route, adds another and moves a third to another service."""
    moved = plain_route("moved", "/moved/", "old" if version == 1 else "new", "non_idempotent")
    other = ("dropped", "/dropped/") if version == 1 else ("added", "/added/")
    return [moved, plain_route(*other, "old", "non_idempotent")]


def configuration_watch(site: Site, process: Process) -> dict | None:
    """The connection on which a process waits for a change of the configuration."""
    target = "/objects/config?watch="
    found = [row for row in site.connections_of(process) if row["target"].startswith(target)]
    return found[0] if found else None


async def wait_for_young_watches(site: Site, struck: list[Process]) -> list[dict]:
    """Wait until each of the struck machines has begun such a wait a moment ago."""
    for _ in range(500):
        watches = [configuration_watch(site, process) for process in struck]
        if all(row is not None and time.monotonic() - row["since_s"] < 3.5 for row in watches):
            return [row for row in watches if row is not None]
        await asyncio.sleep(0.1)
    raise CouldNotRun("the machines do not watch the configuration")


async def case(site: Site, has_trouble: bool) -> bool:
    for number, service in enumerate(("old", "old", "new", "new")):
        zone = ("zone-a", "zone-b")[number % 2]
        await site.add_runner(f"i-{service}-{number % 2 + 1}", service, zone)
    services = [plain_service("old"), plain_service("new")]
    await site.start(routes(1), services)
    await site.wait_ready()
    await asyncio.sleep(6.0)  # nothing is starting any more
    processes = {**site.fronts, **site.stores}
    struck = [processes[name] for name in STRUCK]
    watches = await wait_for_young_watches(site, struck)
    for process, watch in zip(struck, watches):
        num_open = len(site.connections_of(process))
        assert len(struck) / len(processes) <= MAX_SHARE and 1 / num_open <= MAX_X
        if has_trouble:
            watch["is_silent"] = True
            site.record.say(
                f"{process.name}: 1 of its {num_open} connections to the store goes silent, without"
                " a reset; the others work, and so do new ones"
            )
    await asyncio.sleep(CONTACT_S + 0.5)
    site.publish(2, routes(2), services)
    acked_s = site.now_s()
    site.record.say("the operator writes version 2; the store acknowledges it")
    await asyncio.sleep(APPLY_S + 0.1)
    ages = [0.0]
    while site.now_s() - acked_s < WATCHED_S:
        for front in site.fronts.values():
            for path in ("/added/", "/dropped/", "/moved/"):
                sent_s = site.now_s() - acked_s
                fault = await find_fault(site, front, path)
                if fault:
                    ages.append(sent_s)
                    site.record.say(f"{front.name}, {sent_s:.1f} s after the acknowledgement: {fault}")
        await asyncio.sleep(0.5)
    site.record.say(
        f"{len(ages) - 1} requests were handled as only version 1 allows, the last one sent"
        f" {max(ages):.1f} s after version 2 was acknowledged; the bound is {APPLY_S:.0f} s, and"
        f" {APPLY_S + MAX_SKEW_S:.0f} s if the core counted as unstable"
    )
    return max(ages) <= APPLY_S


async def find_fault(site: Site, front: Process, path: str) -> str:
    """Send one request; say what only version 1 allows of what came of it."""
    request_id = site.new_id()
    headers = {"X-Request-Id": request_id, "X-Deadline-Ms": "3000"}
    answer = await send(front.front, "POST", f"{path}x", headers, b"x")
    ran = [run.runner for run in site.runs if run.request_id == request_id]
    if path == "/added/" and answer.status == 404:
        return "404 for the route that was added"
    if path == "/dropped/" and ran:
        return f"the dropped route ran at {ran[0]}"
    if path == "/moved/" and any("old" in runner for runner in ran):
        return f"the moved route ran at {ran[0]}, of the old service"
    return ""


if __name__ == "__main__":
    sys.exit(play(case, Path(__file__).parent))
