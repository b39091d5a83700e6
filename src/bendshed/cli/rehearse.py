"""Commands ``bendshed rehearse …``: stand-ins, demos and fault searches."""

import asyncio
from dataclasses import asdict
from pathlib import Path
from typing import TYPE_CHECKING, Any, ClassVar

import orjson
from cleo.commands.command import Command
from cleo.helpers import argument, option
from cleo.io.inputs.argument import Argument
from cleo.io.inputs.option import Option

from bendshed.cli.options import EXIT_BAD_INPUT, EXIT_DONE, EXIT_FAILED, json_option

if TYPE_CHECKING:
    from bendshed.rehearsal.search import Game, SearchReport

STANDINS = ("platform", "engine", "tool")


class StandinCommand(Command):
    """Serves a stand-in of an external service."""

    name = "rehearse standin"
    description = "Serve a stand-in of the platform, an engine or a tool service."
    help = "Example: <info>bendshed rehearse standin engine --port 9000</info>"
    arguments: ClassVar[list[Argument]] = [argument("kind", f"One of {', '.join(STANDINS)}")]
    options: ClassVar[list[Option]] = [
        option("host", None, "Address to listen on", flag=False, default="127.0.0.1"),
        option("port", None, "Port; 0 takes a free one", flag=False, default="0"),
        option("answer-tokens", None, "Tokens of an engine's answer", flag=False, default="24"),
    ]

    def handle(self) -> int:
        """Serve until interrupted."""
        from bendshed.rehearsal.engine_model import EngineParameters
        from bendshed.rehearsal.standins import run_standin

        kind = self.argument("kind")
        if kind not in STANDINS:
            self.line_error(f"kind: {kind}: name one of {', '.join(STANDINS)}")
            return EXIT_BAD_INPUT
        parameters = EngineParameters(answer_tokens=int(self.option("answer-tokens")))
        asyncio.run(run_standin(kind, self.option("host"), int(self.option("port")), parameters))
        return EXIT_DONE


class SiteDemoCommand(Command):
    """Runs the demo of fronts and stores on stand-ins."""

    name = "rehearse site-demo"
    description = "Serve agent programs through fronts and stores on stand-ins; kill a front."
    help = "Example: <info>bendshed rehearse site-demo</info>"

    def handle(self) -> int:
        """Run the demo."""
        from bendshed.rehearsal.site.demo import main

        return main()


class SearchCommand(Command):
    """Base of the fault search commands."""

    def search(self, game: "Game[Any, Any, Any]", max_steps: int) -> int:
        """Replay a trace, or simulate worlds until the limit or the first violation."""
        if self.option("replay"):
            seed, steps = game.read_trace(Path(self.option("replay")).read_text())
            world, violations = game.run(seed, steps)
            world.close()
            for violation in violations:
                self.line(f"promise {game.describe(violation)}")
            return EXIT_FAILED if violations else EXIT_DONE
        seed, max_s = int(self.option("seed")), float(self.option("seconds"))
        for report in game.search(seed, max_steps, max_s):
            if not self.option("json"):
                self.line(
                    f"{report.worlds} worlds, {report.steps} steps, {report.requests} requests, "
                    f"{report.simulated_s:.0f} s simulated in {report.real_s:.0f} s"
                )
        self._print_report(report)
        return EXIT_FAILED if report.violations else EXIT_DONE

    def _print_report(self, report: "SearchReport") -> None:
        if self.option("json"):
            self.line(orjson.dumps(asdict(report)).decode())
            return
        self.line(f"faults: {report.faults}")
        for violation in report.violations:
            self.line(f"promise {violation}")
        if report.trace:
            self.line(f"trace: {report.trace}")


def search_options() -> list[Option]:
    """Return the options that all search commands share."""
    return [
        option("seed", None, "Seed of the first world", flag=False, default="1"),
        option("seconds", None, "Time bound", flag=False, default="300"),
        option("replay", None, "File with a printed trace", flag=False),
        json_option(),
    ]


class SiteFuzzCommand(SearchCommand):
    """Searches a simulated site for violated rules by injecting random failures."""

    name = "rehearse site-fuzz"
    description = "Random failures against a simulated site; a violation prints a trace."
    help = (
        "Example: <info>bendshed rehearse site-fuzz --seed 1 --worlds 20</info>, or "
        "<info>bendshed rehearse site-fuzz --replay trace.json</info>.\n"
        "Exit codes: 0 all rules held, 1 one did not."
    )
    options: ClassVar[list[Option]] = [
        *search_options(),
        option("worlds", None, "Worlds to play", flag=False, default="20"),
        option("regions", None, "Sites of two regions", flag=True),
        option("streams", None, "Two software versions serve, streams are resumed", flag=True),
        option("restarts", None, "With --streams: runners start again under their ids", flag=True),
        option("unnamed", None, "With --streams: clients name no stream", flag=True),
        option("returns", None, "Clients return just before a turn is forgotten", flag=True),
        option("routes", None, "With --returns: time-outs of turns change", flag=True),
        option("fatal", None, "Requests under which runners end", flag=True),
        option("closings", None, "Sites that lose power as a whole at their end", flag=True),
        option("silences", None, "Connections to the platform's store become silent", flag=True),
        option("departures", None, "Runners leave around outages of the store", flag=True),
        option("registry", None, "The store fails for some kinds or machines", flag=True),
    ]

    def handle(self) -> int:
        """Search or replay."""
        from bendshed.rehearsal.search import STEPS_PER_WORLD
        from bendshed.rehearsal.site import fuzz

        if self.option("closings"):
            from bendshed.rehearsal.site.closings import CLOSINGS, STEPS_PER_CLOSING

            return self.search(CLOSINGS, int(self.option("worlds")) * STEPS_PER_CLOSING)
        if self.option("silences"):
            from bendshed.rehearsal.site.silences import SILENCES, STEPS_PER_SILENCE

            return self.search(SILENCES, int(self.option("worlds")) * STEPS_PER_SILENCE)
        if self.option("departures"):
            from bendshed.rehearsal.site.departures import DEPARTURES, STEPS_PER_DEPARTURE

            return self.search(DEPARTURES, int(self.option("worlds")) * STEPS_PER_DEPARTURE)
        if self.option("registry"):
            from bendshed.rehearsal.site.registry_fault_search import (
                REGISTRY_FAULTS,
                STEPS_PER_FAULT_WORLD,
            )

            return self.search(REGISTRY_FAULTS, int(self.option("worlds")) * STEPS_PER_FAULT_WORLD)
        if self.option("streams"):
            from bendshed.rehearsal.site import stream_steps

            if self.option("unnamed"):
                one = two = stream_steps.UNNAMED_STREAMS
            elif self.option("restarts"):
                one, two = stream_steps.STREAMS_WITH_RESTARTS, stream_steps.RESTARTS_IN_TWO_REGIONS
            else:
                one, two = stream_steps.STREAMS, stream_steps.STREAMS_OF_TWO_REGIONS
            game = two if self.option("regions") else one
        elif self.option("fatal"):
            from bendshed.rehearsal.site.fatal_steps import FATAL, FATAL_IN_TWO_REGIONS

            game = FATAL_IN_TWO_REGIONS if self.option("regions") else FATAL
        elif self.option("returns"):
            if self.option("routes"):
                one, two = fuzz.CHANGED_ROUTES, fuzz.CHANGED_ROUTES_IN_TWO_REGIONS
            else:
                one, two = fuzz.RETURNS, fuzz.RETURNS_IN_TWO_REGIONS
            game = two if self.option("regions") else one
        else:
            game = fuzz.REGIONS if self.option("regions") else fuzz.SITE
        return self.search(game, int(self.option("worlds")) * STEPS_PER_WORLD)


class FuzzCommand(SearchCommand):
    """Searches a simulated installation in virtual time for violated guarantees."""

    name = "rehearse fuzz"
    description = "Random failures against a simulated installation; a violation prints a trace."
    help = (
        "Example: <info>bendshed rehearse fuzz --seed 7 --steps 4000</info>, or "
        "<info>bendshed rehearse fuzz --replay trace.json</info>.\n"
        "Exit codes: 0 all promises held, 1 one did not."
    )
    options: ClassVar[list[Option]] = [
        *search_options(),
        option("steps", None, "Steps over all worlds", flag=False, default="1000"),
    ]

    def handle(self) -> int:
        """Search or replay."""
        from bendshed.rehearsal.simulator.fuzz import INSTALLATION

        return self.search(INSTALLATION, int(self.option("steps")))


class DemoCommand(Command):
    """Runs the demo of a program that survives the loss of a node."""

    name = "rehearse demo"
    description = "Run one program across several nodes, kill one, and print what happened."
    help = "Example: <info>bendshed rehearse demo</info>. Exit codes: 0 all held, 1 not."

    def handle(self) -> int:
        """Run the demo."""
        from bendshed.rehearsal.demo import main

        return main()
