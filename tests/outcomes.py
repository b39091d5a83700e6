"""nose2 plugin that keeps each test's outcome for ``run.py``."""

from nose2.events import Plugin, TestOutcomeEvent

PASSED: list[str] = []
FAILED: list[str] = []


class Outcomes(Plugin):
    alwaysOn = True  # noqa: N815 (the library's name)
    configSection = "outcomes"  # noqa: N815

    def testOutcome(self, event: TestOutcomeEvent) -> None:  # noqa: N802 (the library's name)
        name = event.test.id()
        wanted = event.outcome == "passed" or event.expected
        (PASSED if wanted else FAILED).append(name)
