"""The machine that a node follows; the follower writes this state, the server reads it."""

from dataclasses import dataclass

from bendshed.catalog.parts import SERVED_PARTS, CatalogPart
from bendshed.model.address import Address
from bendshed.paths.host_locations import HostLocations


@dataclass(slots=True)
class Upstream:
    """The last machine that sent this node an update.

    Attributes:
        host_locations: zones and regions of other nodes.
        is_replica: this node is a replica machine.
        machine: ``None``: this node reads the registry itself, or has not received an update.
        directory_digest: digest of the directory that the machine sent.
        num_dependents: number of nodes that depend on the machine, also indirectly.
        fresh_parts: those confirmed so recently that this node does not read them itself.
        follows_zones: whether operators close zones in this installation.

    """

    host_locations: HostLocations
    is_replica: bool
    machine: Address | None = None
    directory_digest: int = 0
    num_dependents: int = 0
    fresh_parts: frozenset[CatalogPart] = frozenset()
    follows_zones: bool = False

    @property
    def is_fresh(self) -> bool:
        """Whether this node need not read any part that requests depend on."""
        is_read = {CatalogPart.ZONES: self.follows_zones}
        return all(part in self.fresh_parts for part in SERVED_PARTS if is_read.get(part, True))

    @property
    def is_regional_reader(self) -> bool:
        """Whether this node follows a machine of another region, for its whole region."""
        machine = self.machine
        return self.is_replica and machine is not None and self.host_locations.is_far(machine.host)

    @property
    def is_updated_across_regions(self) -> bool:
        """Whether a machine of another region keeps this regional reader fresh."""
        return self.is_regional_reader and self.is_fresh

    @property
    def num_dependents_across_regions(self) -> int:
        """Nodes that depend on the other region's machine; 0: this is no regional reader."""
        return self.num_dependents if self.is_regional_reader else 0
