"""A front is killed; a program that had turns there is told to come back, again and again, and never runs on."""

import asyncio
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "standins"))

from loopback_site import (  # noqa: E402
    Answer,
    CouldNotRun,
    Process,
    Site,
    engine_service,
    play,
    send,
    stream_route,
)

BUDGET, MOST = 2304, 288
"""X-Token-Budget and the most of a turn, as in the example of PROTOCOL.md."""
EVENT_TOKENS, NUM_EVENTS = 9, 8
"""A turn hands out 8 events, 72 tokens."""
NUM_SUB_AGENTS = 3
CONTACT_S, RETAIN_S, AIM_S = 3.0, 60.0, 90.0
DEADLINE_S, RETRIES, SENT_AGAIN = 4.0, 1, 2
"""As PROTOCOL.md and the site file: a turn has 2 client attempts and is sent again twice: 6 tries."""
NUM_LATER_TURNS = 12


class Program:
    """One program: keeps its budget and its aim."""

    def __init__(self, site: Site, name: str) -> None:
        self.site, self.name = site, name
        self.aim_s = site.now_s() + AIM_S
        self.num_events = 0
        self.tries: list[tuple[str, Answer]] = []

    async def send_once(
        self, front: Process, line: str, text: str, previous: str = ""
    ) -> tuple[str, Answer]:
        """One client attempt."""
        request_id = self.site.new_id()
        headers = {
            "X-Request-Id": request_id, "X-Program-Id": self.name, "X-Session-Id": line,
            "X-Finish-Ms": str(int(1000 * (self.aim_s - self.site.now_s()))), "X-Model": "m",
            "X-Token-Budget": str(BUDGET), "X-Token-Counts": f"100,{MOST}",
            "X-Prompt-Prefix": f"{line}:100", "X-Deadline-Ms": str(int(1000 * DEADLINE_S)),
        }  # fmt: skip
        if previous:
            headers["X-Previous-Turn"] = previous
        answer = await send(front.front, "POST", "/turn/x", headers, text.encode(), DEADLINE_S)
        if answer.status == 200:
            self.num_events += len([e for e in answer.events if b"data:" in e])
        self.site.record.say(
            f"{self.name}/{line} at {front.name}: turn {request_id} after {previous or 'nothing'}: {answer}"
        )
        return request_id, answer

    async def send_turn(
        self, fronts: list[Process], line: str, text: str, previous: str = ""
    ) -> tuple[str, list[str]]:
        """A turn with all its tries; returns the id that ran whole (or none) and all ids."""
        ids = []
        for number in range(1 + SENT_AGAIN):
            for attempt in range(1 + RETRIES):
                front = fronts[(number + attempt) % len(fronts)]
                request_id, answer = await self.send_once(front, line, text, previous)
                ids.append(request_id)
                if answer.status == 200 and answer.whole:
                    return request_id, ids
                if answer.status in (400, 401, 402, 403, 404, 413):
                    return "", ids  # the program ends at once
                wait_s = float(answer.headers.get("retry-after", 0))
                await asyncio.sleep(min(wait_s, DEADLINE_S / 3))
            await asyncio.sleep(0.25)
        return "", ids


async def case(site: Site, has_trouble: bool) -> bool:
    for number, zone in enumerate(("zone-a", "zone-b", "zone-c")):
        await site.add_runner(f"i-llm-{number + 1}", "llm", zone, num_events=NUM_EVENTS)
    await site.start([stream_route("turns", "/turn/", "llm", retainS=RETAIN_S)], [engine_service("llm")])
    await site.wait_ready()
    await asyncio.sleep(1.0)
    first, struck, third = site.fronts.values()
    program = Program(site, "p1")

    # The program begins; then its line and three sub-agents take a turn each, at one front.
    root, _ = await program.send_turn([first], "line-0", "the first input")
    if not root:
        raise CouldNotRun("the first turn did not run")
    pace_s = 0.3  # the four turns take 2.4 s, so that the front has handed out a part of each
    for runner in site.runners.values():
        runner.event_gap_s = pace_s
    lines = [f"line-{number}" for number in range(1 + NUM_SUB_AGENTS)]
    under_way = [
        asyncio.create_task(program.send_once(struck, line, f"input of {line}", root)) for line in lines
    ]
    await asyncio.sleep(1.0)
    if has_trouble:
        site.record.say(f"{struck.name} is killed")
        await struck.kill()
    answers = await asyncio.gather(*under_way)
    for runner in site.runners.values():
        runner.event_gap_s = 0.02

    # What broke off is sent again at once, to fronts that were never disturbed.
    calm = [first, third]
    last = root
    for line, (request_id, answer) in zip(lines, answers):
        if not answer.whole:
            request_id, _ = await program.send_turn(calm, line, f"input of {line}", root)
        last = request_id if line == "line-0" else last
    if has_trouble:
        await struck.start()
        site.record.say(f"{struck.name} starts again")
        await site.wait_ready()
    site.record.say("a tool runs for longer than contactMs and catchUpS; nothing is disturbed any more")
    await asyncio.sleep(CONTACT_S + 2.0)
    for number in range(NUM_LATER_TURNS):
        first_turns = asyncio.create_task(send_first_turns(site, calm))
        began_s = site.now_s()
        turn, tries = await program.send_turn(calm, "line-0", f"input {number}", last)
        share = await first_turns
        if turn:
            last = turn
            continue
        reached = sum(site.num_runs(request_id) for request_id in tries)
        handed = program.num_events * EVENT_TOKENS
        site.record.say(
            f"a turn after {last}, which was answered whole: {len(tries)} tries in"
            f" {site.now_s() - began_s:.1f} s, {reached} reached a runner; first turns that reached one:"
            f" {share:.0%}; the program has {handed} of {BUDGET} tokens, its aim is"
            f" {program.aim_s - site.now_s():.0f} s away"
        )
        return not (reached == 0 and len(tries) >= 5 and share >= 0.9)
    site.record.say(f"all turns ran; the program has {program.num_events * EVENT_TOKENS} of {BUDGET} tokens")
    return True


async def send_first_turns(site: Site, fronts: list[Process]) -> float:
    """First turns of other programs meanwhile; returns the share that reached a runner."""
    ids = []
    for number in range(4):
        other = Program(site, f"other-{site.new_id()}")
        request_id, _ = await other.send_once(fronts[number % 2], "line", "another program")
        ids.append(request_id)
    return sum(site.num_runs(request_id) > 0 for request_id in ids) / len(ids)


if __name__ == "__main__":
    sys.exit(play(case, Path(__file__).parent))
