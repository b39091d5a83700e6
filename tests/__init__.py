"""All tests draw the same examples every time, and no verdict depends on the machine's speed.

Hypothesis' health checks read the wall clock (``too_slow``: examples drawn within a second), so a
busy machine fails a test that is right. They guard the speed of a suite, not what it proves: the
number of examples stays as each test says. asyncio's debug mode tells callbacks that took over
0.1 s of wall-clock time, which on a busy machine says nothing; all else that it tells is shown.
"""

import logging

from hypothesis import HealthCheck, settings

settings.register_profile(
    "same_verdict",
    derandomize=True,
    database=None,
    deadline=None,
    suppress_health_check=list(HealthCheck),
)
settings.load_profile("same_verdict")


def _is_no_timing(record: logging.LogRecord) -> bool:
    """Whether a line of asyncio tells anything but how long a callback took."""
    return not str(record.msg).startswith("Executing %s took")


logging.getLogger("asyncio").addFilter(_is_no_timing)
