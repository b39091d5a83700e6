"""Bounds what a peer may send that is no body: heads, trailers, chunk framing, surplus messages.

httptools' parser accepts all of these without end.
"""

from collections.abc import Iterator

MAX_FRAMING_BYTES = 64 * 1024
"""Bytes of a head, of trailers or of chunk framing, without a byte of a body in between."""
MAX_HEADERS = 256
"""Headers of one message, trailers included; each takes some 150 bytes beside its text."""
PIECE_BYTES = 16 * 1024
"""Received bytes are parsed in pieces of this size, so that a limit is noticed within one."""


MAX_SURPLUS_BYTES = 1024 * 1024
"""Bytes of messages that answer no request, body included, which are read before the one that is
due; with more of them, a new connection costs less."""


class FramingTooLarge(ValueError):
    """A peer sends framing, or surplus messages, without end."""


class FramingLimit:
    """Counts the bytes received since the last byte of a body, and the headers of a message."""

    def __init__(self) -> None:
        self._num_bytes = 0
        self._num_surplus_bytes = 0
        self._num_headers = 0
        self._num_header_bytes = 0
        self._has_body = False
        self._has_surplus_body = False

    def begin_exchange(self) -> None:
        """Count the bytes behind another request."""
        self._num_bytes = self._num_surplus_bytes = 0

    def begin_message(self) -> None:
        """Count the headers of another message."""
        self._num_headers = self._num_header_bytes = 0

    def count_header(self, num_bytes: int) -> None:
        """Count a header; raise ``FramingTooLarge`` beyond the limit."""
        self._num_headers += 1
        self._num_header_bytes += num_bytes
        if self._num_headers > MAX_HEADERS:
            raise FramingTooLarge(f"more than {MAX_HEADERS} headers")
        if self._num_header_bytes > MAX_FRAMING_BYTES:
            raise FramingTooLarge(f"headers of more than {MAX_FRAMING_BYTES} bytes")

    def note_body(self) -> None:
        """Record that the piece which is parsed contains a part of a body."""
        self._has_body = True

    def note_surplus_body(self) -> None:
        """The same for a part of the body of a message that answers no request."""
        self._has_surplus_body = True

    def count_piece(self, num_bytes: int) -> None:
        """Count a piece that was parsed; raise ``FramingTooLarge`` beyond the limit."""
        if self._has_body:
            self._num_bytes = 0
        elif self._has_surplus_body:
            self._num_surplus_bytes += num_bytes
        else:
            self._num_bytes += num_bytes
        self._has_body = self._has_surplus_body = False
        if self._num_bytes > MAX_FRAMING_BYTES:
            raise FramingTooLarge(f"more than {MAX_FRAMING_BYTES} bytes without a body")
        if self._num_surplus_bytes > MAX_SURPLUS_BYTES:
            raise FramingTooLarge(f"more than {MAX_SURPLUS_BYTES} bytes of surplus messages")


def pieces_of(data: bytes) -> Iterator[bytes]:
    """Split received bytes into the pieces in which they are parsed."""
    for start in range(0, len(data), PIECE_BYTES):
        yield data[start : start + PIECE_BYTES]
