"""Fingerprint of a request: the same for each try of a caller to have it served.

A caller gives each try an id of its own, and sends it through any node. All nodes compute the same
fingerprint from what the caller repeats unchanged.
"""

import hashlib

from bendshed.ports.runner import ServiceRequest

FINGERPRINT_BYTES = 16
LOGGED_BYTES = 4
"""Enough to find the tries of one request in logs, too few to test guesses of its content."""
NO_FINGERPRINT = b""


def fingerprint_of(request: ServiceRequest, tenant: str) -> bytes:
    """Return the digest of what all tries of a request share; ``NO_FINGERPRINT``: nothing does.

    A request without a session may be equal to those of any number of other callers, so that
    nothing shows that two of them are tries of one.
    """
    if not request.session:
        return NO_FINGERPRINT
    digest = hashlib.blake2b(digest_size=FINGERPRINT_BYTES)
    for part in _shared_parts(request, tenant):
        digest.update(len(part).to_bytes(8, "little"))
        digest.update(part)
    return digest.digest()


def describe(fingerprint: bytes) -> str:
    """Return the beginning of a fingerprint, for logs; empty if there is none."""
    return fingerprint[:LOGGED_BYTES].hex()


def _shared_parts(request: ServiceRequest, tenant: str) -> list[bytes]:
    """What every try repeats; ids, deadlines and the position in a resumed stream differ."""
    texts = [tenant, request.host, request.program_id, request.session, request.affinity_key]
    turn = request.turn
    if turn is not None:
        texts += [turn.chain_id, turn.previous_turn]
        texts += [f"{part.part_id}:{part.tokens}" for part in turn.parts]
    return [request.method, request.target, *(text.encode() for text in texts), request.body]
