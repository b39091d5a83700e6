"""All tests draw the same examples every time, and no verdict depends on the machine's speed.

Hypothesis' health checks read the wall clock (``too_slow``: examples drawn within a second), so a
busy machine fails a test that is right. They guard the speed of a suite, not what it proves: the
number of examples stays as each test says.
"""

from hypothesis import HealthCheck, settings

settings.register_profile(
    "same_verdict",
    derandomize=True,
    database=None,
    deadline=None,
    suppress_health_check=list(HealthCheck),
)
settings.load_profile("same_verdict")
