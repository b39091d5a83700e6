"""nose2 plugin that keeps each test's outcome and time for ``run.py``."""

import time
from dataclasses import dataclass, field

from nose2.events import Plugin, StartTestEvent, StopTestEvent, TestOutcomeEvent


@dataclass(slots=True)
class Outcomes:
    """What tests came to.

    Attributes:
        passed, failed: ids of tests.
        took_s: wall-clock time of each, for the list of the slowest; no verdict reads it.

    """

    passed: list[str] = field(default_factory=list)
    failed: list[str] = field(default_factory=list)
    took_s: dict[str, float] = field(default_factory=dict)

    def clear(self) -> None:
        """Forget everything: the process runs another part."""
        self.passed.clear()
        self.failed.clear()
        self.took_s.clear()


SEEN = Outcomes()


class OutcomesPlugin(Plugin):
    alwaysOn = True  # noqa: N815 (the library's name)
    configSection = "outcomes"  # noqa: N815

    def startTest(self, event: StartTestEvent) -> None:  # noqa: N802 (the library's name)
        SEEN.took_s[event.test.id()] = -time.monotonic()

    def stopTest(self, event: StopTestEvent) -> None:  # noqa: N802 (the library's name)
        SEEN.took_s[event.test.id()] += time.monotonic()

    def testOutcome(self, event: TestOutcomeEvent) -> None:  # noqa: N802 (the library's name)
        name = event.test.id()
        if event.outcome == "passed":
            SEEN.passed.append(name)
        elif event.exc_info is not None and not event.expected:
            SEEN.failed.append(name)
