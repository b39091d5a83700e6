"""When an open connection counts as silent, though nothing has closed it. Pure.

Only an answer that is due and does not come shows it. Times are of the caller's clock, in seconds.
"""

import math
from dataclasses import dataclass

MIN_ANSWER_TIMEOUT_S = 1.0
"""Least time for an answer, also where its request was given up sooner. A lost segment is repeated
within it, and a node without processor time for less loses no connection. With ``PROBE_AFTER_S``
and a connect timeout it lies within the 3 s in which a node has to be in touch."""
PROBE_AFTER_S = 1.0
"""One-way messages go into a connection that nothing was heard on for so long only with a request
beside them, since they bring no answer themselves."""


@dataclass(slots=True)
class SilenceDetector:
    """What one connection owes.

    Attributes:
        received_s: when bytes came last, or the connection was opened.
        due_s: when the first answer was due of those requested since then.

    """

    received_s: float = -math.inf
    due_s: float = math.inf

    def record_receipt(self, now_s: float) -> None:
        """Bytes came, or the connection was opened."""
        self.received_s = now_s
        self.due_s = math.inf

    def record_request(self, timeout_s: float, now_s: float) -> None:
        """A request was sent whose answer is waited for so long."""
        self.due_s = min(self.due_s, now_s + max(timeout_s, MIN_ANSWER_TIMEOUT_S))

    def should_probe(self, now_s: float) -> bool:
        """Whether one-way messages would go on unheard: no answer is due soon."""
        is_quiet = now_s - self.received_s > PROBE_AFTER_S
        return is_quiet and self.due_s > now_s + MIN_ANSWER_TIMEOUT_S

    def is_silent(self, now_s: float) -> bool:
        """Whether an answer is overdue and nothing has come since it was requested."""
        return now_s > self.due_s
