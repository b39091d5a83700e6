import hashlib
import unittest

import orjson

from bendshed.configuration.document import ConfigurationDocument, ProgramDeclaration, Tenant
from bendshed.errors import ErrorKind, Refusal
from bendshed.gateway.chat import ParsedCall, call_headers, parse_call
from bendshed.settings.model import ProgramsSection

DOCUMENT = ConfigurationDocument(
    programs={"chat": ProgramDeclaration(models=["small"], max_turns=9)},
    tenants={
        "desk": Tenant(
            token_sha256=hashlib.sha256(b"secret").hexdigest(), budget_tokens=10, priority=3
        )
    },
)
BODY = {"model": "small", "messages": [{"role": "user", "content": "hi", "name": "x"}]}


def parse(body: object, **headers: str) -> ParsedCall | Refusal:
    fields = call_headers({name.replace("_", "-"): value for name, value in headers.items()})
    return parse_call(orjson.dumps(body), fields, "desk", DOCUMENT, ProgramsSection(), 1000, "r1")


class ChatTest(unittest.TestCase):
    def test_request_without_headers_uses_defaults(self) -> None:
        parsed = parse(BODY)
        assert isinstance(parsed, ParsedCall)
        self.assertEqual((parsed.call.program_id, parsed.call.call_number), ("single-r1", 1))
        self.assertEqual(parsed.call.limits.max_turns, 9)

    def test_headers(self) -> None:
        parsed = parse(
            BODY,
            x_bendshed_program="p",
            x_bendshed_call="4",
            x_bendshed_unrepeatable="true",
            x_bendshed_deadline_seconds="2",
            x_bendshed_priority="1",
            idempotency_key="k",
        )
        assert isinstance(parsed, ParsedCall)
        call = parsed.call
        self.assertEqual((call.program_id, call.call_number, call.unrepeatable), ("p", 4, True))
        self.assertEqual((call.deadline_ms, call.idempotency_key), (3000, "k"))
        self.assertEqual(call.priority, 3)  # never more urgent than the tenant

    def test_refusals_name_the_invalid_field(self) -> None:
        cases: list[tuple[Refusal | ParsedCall, ErrorKind, str]] = [
            (parse({"model": "small"}), ErrorKind.BAD_REQUEST, "messages"),
            (parse(BODY, x_bendshed_call="0"), ErrorKind.BAD_REQUEST, "call"),
            (parse(BODY, x_bendshed_colour="red"), ErrorKind.BAD_REQUEST, "colour"),
            (parse(BODY, x_bendshed_program_kind="x"), ErrorKind.PROGRAM_NOT_DECLARED, "DECLARE"),
            (parse({**BODY, "model": "big"}), ErrorKind.MODEL_NOT_ALLOWED, "allowed: small"),
        ]
        for refusal, kind, part in cases:
            with self.subTest(kind=kind, part=part):
                assert isinstance(refusal, Refusal)
                self.assertIs(refusal.kind, kind)
                self.assertIn(part, refusal.detail)

    def test_token_identifies_tenant(self) -> None:
        self.assertEqual(DOCUMENT.tenant_of_token("secret"), "desk")
        self.assertIsNone(DOCUMENT.tenant_of_token("other"))
