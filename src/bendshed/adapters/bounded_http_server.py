"""uvicorn's HTTP protocol, with bounds on what a client sends that nobody reads.

uvicorn and its parser accept headers, trailers, chunk framing, and the rest of a body behind the
answer, without end.
"""

from http import HTTPStatus
from typing import Any

from uvicorn.protocols.http.httptools_impl import HttpToolsProtocol

from bendshed.adapters.framing_limit import FramingLimit, FramingTooLarge, pieces_of

TOO_LARGE = HTTPStatus.REQUEST_HEADER_FIELDS_TOO_LARGE
REFUSAL = b"the headers are too large; send fewer or shorter ones"


class BoundedHttpProtocol(HttpToolsProtocol):
    """Refuses a head that is too large, and closes the connection behind whatever else is."""

    def __init__(self, *arguments: Any, **options: Any) -> None:
        super().__init__(*arguments, **options)
        self._framing = FramingLimit()
        self._is_in_body = False
        self._is_too_large = False

    def data_received(self, data: bytes) -> None:
        """Parse received bytes as far as they are within the limits."""
        for piece in pieces_of(data):
            if self.transport.is_closing():
                return
            super().data_received(piece)
            try:
                self._framing.count_piece(len(piece))
            except FramingTooLarge as error:
                self._is_too_large = True
                self.send_400_response(str(error))

    def on_message_begin(self) -> None:
        """Begin to read a request."""
        self._framing.begin_message()
        super().on_message_begin()

    def on_header(self, name: bytes, value: bytes) -> None:
        """Store a header; trailers are counted alone."""
        try:
            self._framing.count_header(len(name) + len(value))
        except FramingTooLarge:
            self._is_too_large = True
            raise  # the parser's error becomes ``send_400_response``
        if not self._is_in_body:
            super().on_header(name, value)

    def on_headers_complete(self) -> None:
        """Begin to serve the request."""
        self._is_in_body = True
        self._framing.begin_exchange()
        super().on_headers_complete()

    def on_body(self, body: bytes) -> None:
        """Pass a part of the body on, unless the request was answered before it ended."""
        if self.cycle.response_complete:
            self._framing.note_surplus_body()
        else:
            self._framing.note_body()
        super().on_body(body)

    def on_message_complete(self) -> None:
        """End the request."""
        self._is_in_body = False
        super().on_message_complete()

    def send_400_response(self, msg: str) -> None:
        """Refuse what cannot be read; amid a body, the answer may be under way already."""
        if self.transport.is_closing():
            return
        if self._is_in_body:
            self.transport.abort()
            return
        if not self._is_too_large:
            super().send_400_response(msg)
            return
        status = f"HTTP/1.1 {TOO_LARGE.value} {TOO_LARGE.phrase}\r\n".encode()
        headers = f"content-length: {len(REFUSAL)}\r\nconnection: close\r\n\r\n".encode()
        self.transport.write(status + headers + REFUSAL)
        self.transport.close()
