"""Which group holds a program or a tenant, and rendezvous ranking (xxhash)."""

from collections.abc import Iterable

import xxhash


def group_of(key: str, group_count: int) -> int:
    """Group number in ``[0, group_count)`` of a program id or tenant name."""
    return xxhash.xxh3_64_intdigest(key.encode()) % group_count


def rendezvous_rank(key: str, candidates: Iterable[str]) -> list[str]:
    """Candidates by falling weight for the key (highest random weight, Thaler 1998)."""
    return sorted(
        candidates, key=lambda name: (-xxhash.xxh3_64_intdigest(f"{key}/{name}".encode()), name)
    )


def content_digest(*parts: str) -> bytes:
    """128-bit digest of a list of texts; lengths are part of it."""
    digest = xxhash.xxh3_128()
    for part in parts:
        encoded = part.encode()
        digest.update(len(encoded).to_bytes(8, "little"))
        digest.update(encoded)
    return digest.digest()
