"""Parts of the catalog, which the registry confirms separately: one kind of objects each."""

from enum import StrEnum


class CatalogPart(StrEnum):
    """What is known of the registry by one kind of its objects."""

    DOCUMENT = "document"
    RUNNERS = "runners"
    ZONES = "zones"
    MACHINES = "machines"
    RETIREMENTS = "retirements"


SERVED_PARTS = (CatalogPart.DOCUMENT, CatalogPart.RUNNERS, CatalogPart.ZONES)
"""What requests depend on. A machine that can read none of these is not followed."""
