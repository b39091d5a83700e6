"""DRAIN: requests are sent to runners whose entries went more than drainMs ago."""

import asyncio
import sys
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "standins-2"))

from small_site import BOUNDS, CannotRun, Site, configuration, main, route  # noqa: E402

DOWN_S = 4.5
"""The platform's store refuses all calls for so long, as in the site file."""
STABLE_S = BOUNDS["contactMs"] / 1000 + 0.3
PER_S = 20


async def play(record, trouble):
    site = Site(record, {"plain": 2})
    try:
        await site.start(configuration(1, [
            route("notice", "/notice/", "non_idempotent", "plain", 2000),
        ], ["plain"]))
        fronts = list(site.fronts.values())
        sending = []
        stopping = asyncio.Event()

        async def traffic():
            number = 0
            while not stopping.is_set():
                number += 1
                headers = {"X-Request-Id": f"r{number}", "X-Deadline-Ms": "2000"}
                front = fronts[number % len(fronts)]
                sending.append(asyncio.create_task(site.send(front, "POST", f"/notice/{number}", headers, b"letter")))
                await asyncio.sleep(1 / PER_S)

        driving = asyncio.create_task(traffic())
        await asyncio.sleep(2.0)
        if trouble:
            site.metadata.is_down = True
            record.add("store", "is down: every call gets 503")
        await asyncio.sleep(DOWN_S)
        site.metadata.is_down = False
        record.add("store", "answers")
        await asyncio.sleep(STABLE_S)
        gone_s = {}
        for runner in site.runners.values():  # planned: they leave without a word, and serve on
            site.unlist(runner)
            gone_s[runner.name] = record.now_s()
        await asyncio.sleep(4.0)
        stopping.set()
        await driving
        answers = await asyncio.gather(*sending)
        before = [run for run in site.runs if run.at_s < min(gone_s.values())]
        if len(before) < 50 or sum(answer.status == 200 for answer in answers) < 50:
            raise CannotRun("too few requests were served before the runners left")
        bound_s = BOUNDS["drainMs"] / 1000
        late = [(run.request_id, run.runner, round(run.at_s - gone_s[run.runner], 3)) for run in site.runs
                if run.at_s - gone_s[run.runner] > bound_s]
        record.add("check", f"runs later than {bound_s} s after their runner's entry went: {late}")
        return int(bool(late))
    finally:
        await site.stop()


sys.exit(main(play, FOLDER))
