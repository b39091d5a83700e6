"""Passes a configuration to replica machines that know an older one.

The registry may turn away all replica machines and some fronts while it serves other fronts. What
those read reaches the others this way: a node that learns that the machine it follows has an older
configuration sends it the newer one, and that machine forwards it to the others.
"""

from collections.abc import Callable

from google.protobuf.message import DecodeError

from bendshed.catalog.codec import DocumentDecodeError, decode_document, encode_document
from bendshed.catalog.replica_catalog import ReplicaCatalog
from bendshed.consensus.directory import ReplicaDirectory
from bendshed.logs import PartLog
from bendshed.model.address import Address
from bendshed.model.service_document import ServiceDocument
from bendshed.ports.transport import Transport
from bendshed.wire import catalog_pb2 as wire

DOCUMENT_METHOD = "catalog.document"
"""A configuration, newer than what the receiver told (no reply)."""

log = PartLog("catalog")


def send_document(transport: Transport, machine: Address, document: ServiceDocument) -> None:
    """Send a configuration to a replica machine that knows an older one."""
    push = wire.DocumentPush(version=document.version, document=encode_document(document))
    transport.send(machine, DOCUMENT_METHOD, push.SerializeToString())
    log.say("configuration sent: machine has an older one", to=str(machine), version=push.version)


class DocumentReceiver:
    """Applies configurations that other nodes send to a replica machine, and forwards them once."""

    def __init__(
        self,
        catalog: ReplicaCatalog,
        directory: ReplicaDirectory,
        transport: Transport,
        own_address: Address,
        note_version: Callable[[int], None],
    ) -> None:
        self._catalog = catalog
        self._directory = directory
        self._transport = transport
        self._own_address = own_address
        self._note_version = note_version

    def start(self) -> None:
        """Register the handler."""
        self._transport.one_way_handlers[DOCUMENT_METHOD] = self._receive

    def _receive(self, payload: bytes) -> None:
        try:
            push = wire.DocumentPush.FromString(payload)
            if push.version <= self._catalog.catalog.version:
                return
            document = decode_document(push.document)
        except (DecodeError, DocumentDecodeError) as error:
            log.say("configuration ignored: unreadable", reason=str(error))
            return
        if not self._catalog.apply_document(document):
            return
        self._note_version(document.version)
        if not push.is_forwarded:
            self._forward(push)

    def _forward(self, push: wire.DocumentPush) -> None:
        """Send a configuration to all other replica machines, which may be turned away as well."""
        push.is_forwarded = True
        for node in self._directory.by_name.values():
            if node.address != self._own_address:
                self._transport.send(node.address, DOCUMENT_METHOD, push.SerializeToString())
