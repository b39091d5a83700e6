"""LOST: a turn that is kept is answered 404 once the time-out of its route was raised."""

import asyncio
import sys
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "standins-2"))

from small_site import CannotRun, Site, configuration, main, route, turn_headers  # noqa: E402

RETAIN_S = 60.0
BEFORE_MS, AFTER_MS = 1200, 8000


async def play(record, trouble):
    site = Site(record, {"llm": 2})

    def chat(timeout_ms):
        return [route("chat", "/chat/", "stream", "llm", timeout_ms, retain=True, retainS=RETAIN_S, sticky=True)]

    try:
        await site.start(configuration(1, chat(BEFORE_MS), ["llm"]))
        for runner in site.runners.values():
            runner.num_events, runner.gap_s = 4, 0.05
        front_1, front_2 = site.fronts.values()
        first = await site.send(front_1, "POST", "/chat/1", turn_headers("t1", "p", deadline_ms=AFTER_MS), b"one\n")
        if first.status != 200 or not first.is_whole:
            raise CannotRun(f"the first turn did not end whole: {first.status}")
        if trouble:
            site.configure(configuration(2, chat(AFTER_MS), ["llm"]))
        await asyncio.sleep(first.ended_s + RETAIN_S - 3.0 - record.now_s())
        answers = []
        for number in range(3):
            answer = await site.send(
                (front_1, front_2)[number % 2], "POST", "/chat/1",
                turn_headers(f"t2-{number}", "p", "t1", deadline_ms=AFTER_MS), b"two\n")
            since_s = answer.ended_s - first.ended_s
            answers.append((answer.status, round(since_s, 2)))
            if answer.status == 200:
                break
            await asyncio.sleep(0.4)  # as clients send a turn again
        record.add("check", f"status and age of the kept turn: {answers}")
        return int(any(status in (404, 410) and since_s < RETAIN_S for status, since_s in answers))
    finally:
        await site.stop()


sys.exit(main(play, FOLDER))
