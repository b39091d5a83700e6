"""How many requests cold runners get: a bound on the sum over all nodes. Pure."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class ColdTerms:
    """How exact the rate of cold runners must be.

    Within any second a cold runner may be sent its service's rate times ``over`` plus ``slack``
    requests, over all nodes.

    Attributes:
        over: factor on the rate that the configuration tells; at least 1 in practice.
        slack: requests on top.

    """

    over: float = 1.0
    slack: float = 0.0
