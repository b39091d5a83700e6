"""UNASKED: a turn that was resumed by its client is kept without the events that came before the break."""

import asyncio
import signal
import sys
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "standins-2"))

from small_site import CannotRun, Site, configuration, main, route, turn_headers  # noqa: E402

NUM_EVENTS = 8


async def play(record, trouble):
    site = Site(record, {"llm": 2})
    try:
        await site.start(configuration(1, [
            route("chat", "/chat/", "stream", "llm", 4000, retain=True, sticky=True, resumable=True),
        ], ["llm"]))
        front_1, front_2 = site.fronts.values()
        reached = asyncio.Event()
        first = asyncio.create_task(site.send(
            front_1, "POST", "/chat/1", turn_headers("a1", "p"), b"What is a swarm?\n", until_event=3, reached=reached))
        if trouble:
            await asyncio.wait_for(reached.wait(), 5)
            await site.signal(front_1, signal.SIGKILL)
            broken = await first
            seen = broken.events()
            if broken.is_whole or not seen:
                raise CannotRun("the stream was not broken amid its events")
            # The client takes its stream up at the other front, with an id of its own for this attempt.
            last = await site.send(
                front_2, "POST", "/chat/1", turn_headers("a2", "p", Last_Event_Id=str(seen[-1])), b"What is a swarm?\n")
            turn = "a2"
        else:
            seen, last, turn = [], await first, "a1"
        if last.status != 200 or not last.is_whole or seen + last.events() != list(range(1, NUM_EVENTS + 1)):
            raise CannotRun(f"the turn did not end whole: {last.status} {seen} {last.events()}")
        await asyncio.sleep(0.2)
        following = await site.send(
            front_2, "POST", "/chat/1", turn_headers("b1", "p", turn), b"And an onset?\n")
        if following.status != 200:
            record.add("check", f"the following turn was answered {following.status}")
            return 0
        due = b"What is a swarm?\n" + b"".join(
            site.event_data(number) + b"\n" for number in range(1, NUM_EVENTS + 1)) + b"And an onset?\n"
        got = next(run.body for run in site.runs if run.request_id == "b1")
        record.add("check", f"due: {due!r}")
        record.add("check", f"got: {got!r}")
        return int(got != due)
    finally:
        await site.stop()


sys.exit(main(play, FOLDER))
