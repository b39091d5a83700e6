"""Assignment of keys to groups and nodes (xxhash), and digests."""

import hashlib
from bisect import bisect_right
from collections.abc import Iterable

import xxhash


def group_of(key: str, group_count: int) -> int:
    """Return the group number in ``[0, group_count)`` of a program id or tenant name."""
    return xxhash.xxh3_64_intdigest(key.encode()) % group_count


def rendezvous_rank(key: str, candidates: Iterable[str]) -> list[str]:
    """Return the candidates by descending weight for the key (rendezvous hashing, Thaler 1998)."""
    return sorted(
        candidates, key=lambda name: (-xxhash.xxh3_64_intdigest(f"{key}/{name}".encode()), name)
    )


def credential_digest(credential: str) -> str:
    """Return the hexadecimal SHA-256, which is stored and compared instead of the credential."""
    return hashlib.sha256(credential.encode()).hexdigest()


def content_digest(*parts: str) -> bytes:
    """Return the 128-bit digest of a list of strings, including their lengths."""
    digest = xxhash.xxh3_128()
    for part in parts:
        encoded = part.encode()
        digest.update(len(encoded).to_bytes(8, "little"))
        digest.update(encoded)
    return digest.digest()


class HashRing:
    """Assigns keys to nodes (consistent hashing, Karger 1997).

    Construction sorts the nodes' points; a look-up costs one hash and a binary search.
    ``rendezvous_rank`` ranks every node for every key, which is too slow for thousands of keys.
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
        """Return the node that owns the key; empty if there are no nodes."""
        if not self._owners:
            return ""
        place = bisect_right(self._positions, xxhash.xxh3_64_intdigest(key.encode()))
        return self._owners[place % len(self._owners)]
