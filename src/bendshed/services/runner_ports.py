"""What attempts at runners need of their node."""

import random
from dataclasses import dataclass, field

from bendshed.model.places import Places
from bendshed.policy import ALL_ENABLED, Policy
from bendshed.ports.runner import RunnerProtocol
from bendshed.ports.runner_connections import RunnerConnections
from bendshed.services.metrics import ServiceMetrics
from bendshed.services.permit_client import PermitClient
from bendshed.services.runners import RunnerRecord, RunnerTable


@dataclass(frozen=True, slots=True)
class RunnerPorts:
    """Dependencies of attempts on the node.

    Attributes:
        zone, node: the node's zone and its unique name.
        permit_client: requests permits for cold runners; ``None``: no permits are available.

    """

    table: RunnerTable
    pool: RunnerConnections
    protocol: RunnerProtocol
    zone: str
    node: str
    rng: random.Random
    metrics: ServiceMetrics
    policy: Policy = ALL_ENABLED
    permit_client: PermitClient | None = None
    places: Places = field(default_factory=Places)

    def is_connected(self, record: RunnerRecord) -> bool:
        """Whether an idle connection to a runner is open."""
        return self.pool.has_idle(record.listed.address)
