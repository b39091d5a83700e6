"""Names of the users' platform must not occur in the product outside the platform folder."""

import re
import unittest
from pathlib import Path

SOURCE = Path(__file__).parent.parent / "src" / "bendshed"
PLATFORM = SOURCE / "platform"
PLATFORM_NAMES = (
    # headers
    "X-Deadline-Ms",
    "X-Program-Id",
    "X-Session-Id",
    "X-Finish-Ms",
    "X-Token-Budget",
    "X-Token-Counts",
    "X-Previous-Turn",
    "X-Prompt-Prefix",
    "X-Length-Hint",
    "X-Urgency",
    "X-Expect-Instance",
    "X-Expect-Version",
    "X-Instance-Id",
    "X-Not-Run",
    "X-Server-Stamp",
    "X-Weight-Versions",
    "X-Pin-Ms",
    "X-Hold",
    "X-Kv-Backup",
    "Kv-Fetch",
    "Kv-From",
    # paths, kinds and variables
    "BENDSHED_BOOT",
    "config/main",
    "/kv-events",
    "/kv-list",
    "/kv-move",
    "/kv-pin",
    "/kv-handle",
    "/hold-take",
    "/hold-drop",
    # fields
    "nodeName",
    "portRange",
    "dataDir",
    "faultTolerance",
    "heartbeatMs",
    "coldLeftMs",
    "pathPrefix",
    "timeoutMs",
    "targetMs",
    "gapTargetMs",
    "maxAttempts",
    "retainS",
    "healthPath",
    "maxConns",
    "eventTokens",
    "kvCapTokens",
    "maxHeaderBytes",
    "maxBodyBytes",
    "headerTimeoutMs",
    "idleTimeoutMs",
    "hasMore",
    "waitMs",
    "durationS",
)


class PlatformBorderTest(unittest.TestCase):
    def test_platform_names_are_absent_outside_its_folder(self) -> None:
        for path in sorted(SOURCE.rglob("*.py")):
            if PLATFORM in path.parents:
                continue
            text = path.read_text()
            module = path.relative_to(SOURCE).as_posix()
            for name in PLATFORM_NAMES:
                with self.subTest(file=module, name=name):
                    pattern = rf"(?<![A-Za-z0-9_-]){re.escape(name)}(?![A-Za-z0-9_])"
                    self.assertIsNone(re.search(pattern, text, re.IGNORECASE))

    def test_platform_folder_stays_small(self) -> None:
        lines = sum(len(path.read_text().splitlines()) for path in PLATFORM.rglob("*.py"))
        self.assertLess(lines, 1500)
