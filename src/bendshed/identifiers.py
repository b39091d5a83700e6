"""Which group holds a program or a tenant, rendezvous ranking (xxhash), digests."""

import hashlib
from bisect import bisect_right
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


def credential_digest(credential: str) -> str:
    """SHA-256 in hex: what is stored and compared in a credential's place."""
    return hashlib.sha256(credential.encode()).hexdigest()


def content_digest(*parts: str) -> bytes:
    """128-bit digest of a list of texts; lengths are part of it."""
    digest = xxhash.xxh3_128()
    for part in parts:
        encoded = part.encode()
        digest.update(len(encoded).to_bytes(8, "little"))
        digest.update(encoded)
    return digest.digest()


class HashRing:
    """Owners of many keys among some nodes (consistent hashing, Karger 1997).

    Building costs a sort of the nodes, a look-up one hash and a binary search; ranking every node
    for every key, as ``rendezvous_rank`` does, was measured too slow for thousands of keys.
    """

    POINTS_PER_NODE = 16

    def __init__(self, nodes: Iterable[str]) -> None:
        points = [
            (xxhash.xxh3_64_intdigest(f"{node}/{point}".encode()), node)
            for node in nodes
            for point in range(self.POINTS_PER_NODE)
        ]
        points.sort()
        self._positions = [position for position, _ in points]
        self._owners = [owner for _, owner in points]

    def owner(self, key: str) -> str:
        """Node that owns the key; empty without nodes."""
        if not self._owners:
            return ""
        place = bisect_right(self._positions, xxhash.xxh3_64_intdigest(key.encode()))
        return self._owners[place % len(self._owners)]
