"""Other fronts that a node may relay requests through. Pure."""

from collections.abc import Sequence

from bendshed.model.address import Address

MIN_REPLACING_FRONTS = 3
"""An update that names so many fronts replaces those known before: what is named sent requests
lately, and a front that is cut off itself is no relay. A shorter one adds to them."""
MAX_KNOWN_FRONTS = 6
"""As many as a replica machine names (`MAX_FRONTS_NAMED` of ``relay_list.py``)."""


class KnownFronts:
    """Fronts that the last updates named.

    Attributes:
        addresses: the latest named first.

    """

    def __init__(self) -> None:
        self.addresses: list[Address] = []

    def update(self, named: Sequence[Address]) -> None:
        """Take an update; those known stay when it names few: its machine may just have started."""
        if len(named) >= MIN_REPLACING_FRONTS:
            self.addresses = list(named)
            return
        known = [front for front in self.addresses if front not in named]
        self.addresses = [*named, *known][:MAX_KNOWN_FRONTS]
