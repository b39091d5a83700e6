import unittest

from bendshed.configuration.document import (
    ConfigurationDocument,
    DrainRunner,
    DropRoute,
    DropService,
    InvalidReference,
    LoadModel,
    PutService,
    SetBudget,
    apply_change,
)
from bendshed.configuration.services import ServiceDeclaration, to_service_document
from bendshed.errors import ErrorKind, Refusal
from bendshed.model.service_document import RouteKind, WeightedService
from bendshed.operators.language import (
    ChangeConfiguration,
    Condition,
    ExplainCall,
    Show,
    StopProgram,
    parse,
)


class LanguageTest(unittest.TestCase):
    def test_statements(self) -> None:
        cases = {
            "SHOW nodes": Show("nodes"),
            "show calls where status = 'queued' and attempt > 1 order by call desc limit 5;": Show(
                "calls",
                (Condition("status", "=", "queued"), Condition("attempt", ">", 1)),
                "call",
                True,
                5,
            ),
            "EXPLAIN CALL 'p 1' 3": ExplainCall("p 1", 3),
            "SET BUDGET desk 500": ChangeConfiguration(SetBudget(tenant="desk", budget_tokens=500)),
            "DRAIN RUNNER r-1": ChangeConfiguration(DrainRunner(runner="r-1")),
            "RESUME RUNNER r-1": ChangeConfiguration(DrainRunner(runner="r-1", drain=False)),
            "LOAD MODEL big ON RUNNER r-1": ChangeConfiguration(
                LoadModel(runner="r-1", model="big")
            ),
            "STOP PROGRAM p1": StopProgram("p1"),
            "PUT SERVICE relay SLOTS 6": ChangeConfiguration(
                PutService(name="relay", service=ServiceDeclaration(slots=6))
            ),
            "DROP SERVICE relay": ChangeConfiguration(DropService(name="relay")),
            "DROP ROUTE beat": ChangeConfiguration(DropRoute(name="beat")),
            "SHOW routes": Show("routes"),
        }
        for text, expected in cases.items():
            with self.subTest(text=text):
                self.assertEqual(parse(text), expected)

    def test_declarations(self) -> None:
        statement = parse("DECLARE PROGRAM triage MODELS small, large TURNS 20 TOKENS 9000")
        assert isinstance(statement, ChangeConfiguration)
        declaration = statement.body.declaration  # type: ignore[union-attr]
        self.assertEqual(declaration.models, ["small", "large"])
        self.assertEqual((declaration.max_turns, declaration.max_tokens), (20, 9000))

    def test_errors_name_position_and_expected_token(self) -> None:
        cases = {
            "SHOW": "expected: TABLE",
            "SHOW nodes WHERE": "expected: NAME",
            "DRAIN NODE x": "at column 7",
            "": "(empty)",
            "PUT TENANT a TOKEN SHA256 'abc' BUDGET 1": "token_sha256",
            "SET PRIORITY desk 12": "priority",
            "PUT ROUTE r HOST h PREFIX 'beat' TO relay": "path_prefix",
            "PUT ROUTE r HOST h PREFIX '/b/' TO relay WEIGHT 0": "weight",
            "PUT ROUTE r HOST h PREFIX '/b/' TO relay KIND odd": "at column",
        }
        for text, part in cases.items():
            with self.subTest(text=text):
                refusal = parse(text)
                assert isinstance(refusal, Refusal)
                self.assertIs(refusal.kind, ErrorKind.BAD_REQUEST)
                self.assertIn(part, refusal.detail)


class DeclaredRoutesTest(unittest.TestCase):
    def apply(self, *statements: str) -> ConfigurationDocument:
        document = ConfigurationDocument()
        for revision, text in enumerate(statements, start=1):
            statement = parse(text)
            assert isinstance(statement, ChangeConfiguration), statement
            document = apply_change(document, statement.body, revision)
        return document

    def test_declared_route_reaches_the_service_document(self) -> None:
        document = self.apply(
            "PUT SERVICE relay",
            "PUT SERVICE spare SLOTS 2",
            "PUT ROUTE beat HOST 'feeds.example' PREFIX '/beat/' TO relay WEIGHT 3, spare"
            " KIND idempotent TIMEOUT 1200 MS PRIORITY 2 ATTEMPTS 2",
            "SET LIMITS BODY 1000 BYTES",
        )
        forwarded = to_service_document(4, document.services, document.routes, document.limits)
        route = forwarded.routes[0]
        self.assertEqual((route.host, route.path_prefix), ("feeds.example", "/beat/"))
        self.assertEqual(
            route.targets, (WeightedService("relay", 3.0), WeightedService("spare", 1.0))
        )
        self.assertIs(route.kind, RouteKind.IDEMPOTENT)
        self.assertEqual((route.timeout_ms, route.priority, route.max_attempts), (1200, 2, 2))
        self.assertEqual((forwarded.version, forwarded.limits.max_body_bytes), (4, 1000))

    def test_requests_are_unrepeatable_by_default(self) -> None:
        document = self.apply("PUT SERVICE s", "PUT ROUTE r HOST h PREFIX '/' TO s")
        forwarded = to_service_document(2, document.services, document.routes, document.limits)
        self.assertFalse(forwarded.routes[0].may_repeat)

    def test_unknown_or_referenced_names_are_rejected(self) -> None:
        route = "PUT ROUTE r HOST h PREFIX '/' TO s"
        cases = [(route,), ("DROP ROUTE r",), ("DROP SERVICE s",)]
        cases.append(("PUT SERVICE s", route, "DROP SERVICE s"))
        for statements in cases:
            with self.subTest(last=statements[-1]), self.assertRaises(InvalidReference):
                self.apply(*statements)
