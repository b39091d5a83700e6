"""Detection of connections that are open but no longer deliver data. No I/O.

The only evidence is an answer that is overdue. Times are in seconds on the caller's clock.
"""

import math
from dataclasses import dataclass

MIN_ANSWER_TIMEOUT_S = 1.0
"""Minimum time for an answer, even if its request timed out sooner. It allows for the
retransmission of a lost segment, and for a node that gets no processor time for less than this.
Together with ``PROBE_AFTER_S`` and a connect timeout it is within the 3 s in which a node must
restore contact."""
PROBE_AFTER_S = 1.0
"""If nothing was received on a connection for this long, one-way messages on it are accompanied by
a request, since they are not answered themselves."""


@dataclass(slots=True)
class SilenceDetector:
    """State of one connection.

    Attributes:
        received_s: time of the last received bytes, or of the connection's opening.
        due_s: earliest due time of the answers requested since then.

    """

    received_s: float = -math.inf
    due_s: float = math.inf

    def record_receipt(self, now_s: float) -> None:
        """Record that bytes were received, or that the connection was opened."""
        self.received_s = now_s
        self.due_s = math.inf

    def record_request(self, timeout_s: float, now_s: float) -> None:
        """Record a request whose answer is awaited for ``timeout_s``."""
        self.due_s = min(self.due_s, now_s + max(timeout_s, MIN_ANSWER_TIMEOUT_S))

    def should_probe(self, now_s: float) -> bool:
        """Return whether to send a request with a one-way message.

        This is the case if nothing was received for ``PROBE_AFTER_S`` and no answer is due soon, so
        that a silent connection would remain undetected.
        """
        is_quiet = now_s - self.received_s > PROBE_AFTER_S
        return is_quiet and self.due_s > now_s + MIN_ANSWER_TIMEOUT_S

    def is_silent(self, now_s: float) -> bool:
        """Return whether an answer is overdue and nothing was received since its request."""
        return now_s > self.due_s
