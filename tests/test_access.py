"""Who may ask: credentials, what runners see of them, where they may not stand."""

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


def route_row(prefix: str, priority: int, public: bool = False) -> dict[str, Any]:
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
    "routes": [route_row("/closed/", 2), route_row("/open/", 0, public=True)],
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


def asker(*headers: tuple[bytes, bytes], path: int = 0) -> Principal | None:
    known = document()
    return AccessIndex(known).principal(known.routes[path], request(*headers).credential)


def headers_at_the_runner(asked: ServiceRequest, who: Principal) -> Headers:
    route = document().routes[0]
    spec = {"service": "s", "addr": "10.0.0.9:80", "state": "ready"}
    runner = translate.read_runner(StoredObject("i-1", 3, spec, None))
    dispatch = RunnerDispatch(
        route, runner, who.name, who.is_authentication_disabled, who.urgency, 100
    )
    return PlatformRunnerProtocol().build_request(asked, b"", dispatch).headers


class CredentialTest(unittest.TestCase):
    def test_a_known_credential_names_its_tenant(self) -> None:
        found = asker(authorization(f"Token {KEY}"))
        assert found is not None
        self.assertEqual((found.name, found.is_limited), ("one", True))
        lower = asker(authorization(f"token {OTHER_KEY}"))
        assert lower is not None
        self.assertEqual((lower.name, lower.is_limited), ("two", False))

    def test_what_is_no_credential(self) -> None:
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
                self.assertIsNone(asker(*headers))

    def test_an_open_route_asks_nobody(self) -> None:
        found = asker(path=1)
        assert found is not None
        self.assertEqual((found.name, found.is_authentication_disabled), ("", False))
        known = asker(authorization(f"Token {KEY}"), path=1)
        assert known is not None
        self.assertEqual(known.name, "one")

    def test_without_tenants_nobody_is_asked(self) -> None:
        plain = document({**SPEC, "tenants": []})
        found = AccessIndex(plain).principal(plain.routes[0], "")
        assert found is not None
        self.assertTrue(found.is_authentication_disabled)

    def test_a_routes_priority_comes_after_its_tenants(self) -> None:
        known = document()
        index = AccessIndex(known)
        one, two = credential_digest(KEY), credential_digest(OTHER_KEY)
        pairs = [(one, 1), (one, 0), (two, 1), (two, 0)]
        found = [index.principal(known.routes[place], who) for who, place in pairs]
        urgencies = [who.urgency for who in found if who is not None]
        self.assertEqual(urgencies, sorted(urgencies))
        self.assertEqual(len(set(urgencies)), 4)


class RunnerTest(unittest.TestCase):
    def test_a_runner_gets_the_tenant_in_the_credentials_place(self) -> None:
        asked = request(
            authorization(f"Token {KEY}"), (names.TENANT, b"two"), (names.TENANT, b"three")
        )
        who = asker(authorization(f"Token {KEY}"))
        assert who is not None
        sent = headers_at_the_runner(asked, who)
        self.assertEqual([v for name, v in sent if name == names.TENANT], [b"one"])
        self.assertNotIn(KEY.encode(), b" ".join(value for _, value in sent))

    def test_a_callers_word_on_its_tenant_never_passes(self) -> None:
        asked = request((names.TENANT, b"two"))
        sent = headers_at_the_runner(asked, Principal(None, 0))
        self.assertEqual([v for name, v in sent if name == names.TENANT], [])

    def test_without_tenants_the_header_is_the_runners(self) -> None:
        asked = request(authorization("Basic abc"))
        sent = headers_at_the_runner(asked, Principal(None, 0, is_authentication_disabled=True))
        self.assertIn((names.AUTHORIZATION, b"Basic abc"), sent)


class KeptTest(unittest.TestCase):
    def test_no_credential_stands_in_what_is_kept_told_or_shown(self) -> None:
        known = document()
        catalog = Catalog()
        catalog.apply_document(known)
        kept = encode_stored(StoredCatalog(catalog))
        told = catalog.encoded_document(lambda row: orjson.dumps(orjson.loads(_plain(row))))
        asked = request(authorization(f"Token {KEY}"))
        for place in (kept, told, repr(known).encode(), repr(asked).encode()):
            self.assertNotIn(KEY.encode(), place)
        opened = decode_stored(kept).catalog.document
        self.assertEqual(opened, known)

    def test_a_document_kept_as_plain_json_opens(self) -> None:
        known = document()
        self.assertEqual(decode_document(_plain(known)), known)


def _plain(known: ServiceDocument) -> bytes:
    """A document as an earlier version of the program kept it."""
    import msgspec  # noqa: PLC0415

    return msgspec.json.encode(known)
