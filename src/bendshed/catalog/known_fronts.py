"""Other fronts that may relay a node's requests. Pure."""

from collections.abc import Sequence

from bendshed.model.address import Address

MIN_REPLACING_FRONTS = 3
"""An update that names at least this many fronts replaces those known before: the named fronts sent
requests recently, and a front that is cut off is no relay. A shorter update adds to them."""
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
        """Apply an update; if it names few fronts, its machine may just have started: keep others.

        The fronts of the update come first.
        """
        if len(named) >= MIN_REPLACING_FRONTS:
            self.addresses = list(named)
            return
        known = [front for front in self.addresses if front not in named]
        self.addresses = [*named, *known][:MAX_KNOWN_FRONTS]
