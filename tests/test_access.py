"""Credentials of callers: authentication, forwarding to runners, and absence from stored data."""

import unittest
from typing import Any

import orjson

from bendshed.admission.access import AccessIndex
from bendshed.catalog.codec import StoredCatalog, decode_document, decode_stored, encode_stored
from bendshed.catalog.state import Catalog
from bendshed.errors import Refusal
from bendshed.identifiers import credential_digest
from bendshed.model.principal import Principal
from bendshed.model.service_document import ServiceDocument
from bendshed.platform import names, translate
from bendshed.platform.caller_protocol import PlatformCallerProtocol
from bendshed.platform.runner_protocol import PlatformRunnerProtocol
from bendshed.ports.caller_protocol import ReceivedRequest
from bendshed.ports.http_messages import Headers
from bendshed.ports.objects import StoredObject
from bendshed.ports.runner import RunnerDispatch, ServiceRequest

KEY, OTHER_KEY = "gjqnirth5mgjy5rcpihh", "acruddedev3nax7u27gx"


def route_spec(prefix: str, priority: int, public: bool = False) -> dict[str, Any]:
    return {
        "name": prefix,
        "host": "h.example",
        "pathPrefix": prefix,
        "kind": "idempotent",
        "timeoutMs": 1000,
        "priority": priority,
        "service": "s",
        "public": public,
    }


SPEC: dict[str, Any] = {
    "version": 7,
    "routes": [route_spec("/closed/", 2), route_spec("/open/", 0, public=True)],
    "services": [{"name": "s"}],
    "tenants": [
        {"name": "one", "apiKeys": [KEY], "priority": 0, "ratePerS": 179, "burst": 20},
        {"name": "two", "apiKeys": [OTHER_KEY], "priority": 2},
    ],
}


def document(spec: dict[str, Any] = SPEC) -> ServiceDocument:
    return translate.read_document(orjson.loads(orjson.dumps(spec)))


def request(*headers: tuple[bytes, bytes]) -> ServiceRequest:
    sent: Headers = [(names.REQUEST_ID, b"r1"), (b"host", b"h.example"), *headers]
    received = ReceivedRequest(b"GET", b"/closed/x", b"", sent, b"", 0.0)
    read = PlatformCallerProtocol().read(received)
    assert not isinstance(read, Refusal)
    return read


def authorization(text: str) -> tuple[bytes, bytes]:
    return (names.AUTHORIZATION, text.encode())


def principal_of(*headers: tuple[bytes, bytes], path: int = 0) -> Principal | None:
    known = document()
    return AccessIndex(known).principal(known.routes[path], request(*headers).credential)


def headers_to_runner(incoming: ServiceRequest, principal: Principal) -> Headers:
    route = document().routes[0]
    spec = {"service": "s", "addr": "10.0.0.9:80", "state": "ready"}
    runner = translate.read_runner(StoredObject("i-1", 3, spec, None))
    dispatch = RunnerDispatch(
        route, runner, principal.name, principal.is_authentication_disabled, principal.urgency, 100
    )
    return PlatformRunnerProtocol().build_request(incoming, b"", dispatch).headers


class CredentialTest(unittest.TestCase):
    def test_known_credential_identifies_tenant(self) -> None:
        found = principal_of(authorization(f"Token {KEY}"))
        assert found is not None
        self.assertEqual((found.name, found.is_limited), ("one", True))
        lower = principal_of(authorization(f"token {OTHER_KEY}"))
        assert lower is not None
        self.assertEqual((lower.name, lower.is_limited), ("two", False))

    def test_invalid_credentials_are_rejected(self) -> None:
        cases: dict[str, list[tuple[bytes, bytes]]] = {
            "missing": [],
            "unknown": [authorization("Token zzz")],
            "another scheme": [authorization(f"Bearer {KEY}")],
            "no scheme": [authorization(KEY)],
            "empty": [authorization("Token ")],
            "blanks before it": [authorization(f"Token  {KEY}")],
            "doubled": [authorization(f"Token {KEY}")] * 2,
            "two": [authorization(f"Token {KEY}"), authorization(f"Token {OTHER_KEY}")],
            "over-long": [authorization("Token " + KEY * 100)],
            "its digest": [authorization(f"Token {credential_digest(KEY)}")],
            "the tenant's name": [(names.TENANT, b"one")],
        }
        for case, headers in cases.items():
            with self.subTest(case=case):
                self.assertIsNone(principal_of(*headers))

    def test_public_route_needs_no_credential(self) -> None:
        found = principal_of(path=1)
        assert found is not None
        self.assertEqual((found.name, found.is_authentication_disabled), ("", False))
        known = principal_of(authorization(f"Token {KEY}"), path=1)
        assert known is not None
        self.assertEqual(known.name, "one")

    def test_no_credential_needed_without_tenants(self) -> None:
        plain = document({**SPEC, "tenants": []})
        found = AccessIndex(plain).principal(plain.routes[0], "")
        assert found is not None
        self.assertTrue(found.is_authentication_disabled)

    def test_tenant_priority_outranks_route_priority(self) -> None:
        known = document()
        index = AccessIndex(known)
        one, two = credential_digest(KEY), credential_digest(OTHER_KEY)
        pairs = [(one, 1), (one, 0), (two, 1), (two, 0)]
        found = [index.principal(known.routes[route], credential) for credential, route in pairs]
        urgencies = [principal.urgency for principal in found if principal is not None]
        self.assertEqual(urgencies, sorted(urgencies))
        self.assertEqual(len(set(urgencies)), 4)


class ForwardedHeadersTest(unittest.TestCase):
    def test_runner_gets_tenant_instead_of_credential(self) -> None:
        incoming = request(
            authorization(f"Token {KEY}"), (names.TENANT, b"two"), (names.TENANT, b"three")
        )
        principal = principal_of(authorization(f"Token {KEY}"))
        assert principal is not None
        sent = headers_to_runner(incoming, principal)
        self.assertEqual([v for name, v in sent if name == names.TENANT], [b"one"])
        self.assertNotIn(KEY.encode(), b" ".join(value for _, value in sent))

    def test_tenant_header_of_caller_is_removed(self) -> None:
        incoming = request((names.TENANT, b"two"))
        sent = headers_to_runner(incoming, Principal(None, 0))
        self.assertEqual([v for name, v in sent if name == names.TENANT], [])

    def test_authorization_is_forwarded_without_tenants(self) -> None:
        incoming = request(authorization("Basic abc"))
        sent = headers_to_runner(incoming, Principal(None, 0, is_authentication_disabled=True))
        self.assertIn((names.AUTHORIZATION, b"Basic abc"), sent)


class CredentialLeakTest(unittest.TestCase):
    def test_credentials_are_absent_from_stored_sent_and_printed_data(self) -> None:
        known = document()
        catalog = Catalog()
        catalog.apply_document(known)
        stored = encode_stored(StoredCatalog(catalog))
        sent = catalog.encoded_document(lambda row: orjson.dumps(orjson.loads(_to_plain_json(row))))
        incoming = request(authorization(f"Token {KEY}"))
        for data in (stored, sent, repr(known).encode(), repr(incoming).encode()):
            self.assertNotIn(KEY.encode(), data)
        restored = decode_stored(stored).catalog.document
        self.assertEqual(restored, known)

    def test_document_stored_as_plain_json_is_readable(self) -> None:
        known = document()
        self.assertEqual(decode_document(_to_plain_json(known)), known)


def _to_plain_json(known: ServiceDocument) -> bytes:
    """Encode a document as an earlier version of the program stored it."""
    import msgspec  # noqa: PLC0415

    return msgspec.json.encode(known)
