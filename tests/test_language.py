import unittest

from bendshed.configuration.document import DrainRunner, LoadModel, SetBudget
from bendshed.errors import ErrorKind, Refusal
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
        }
        for text, wanted in cases.items():
            with self.subTest(text=text):
                self.assertEqual(parse(text), wanted)

    def test_declarations(self) -> None:
        statement = parse("DECLARE PROGRAM triage MODELS small, large TURNS 20 TOKENS 9000")
        assert isinstance(statement, ChangeConfiguration)
        declaration = statement.body.declaration  # type: ignore[union-attr]
        self.assertEqual(declaration.models, ["small", "large"])
        self.assertEqual((declaration.max_turns, declaration.max_tokens), (20, 9000))

    def test_errors_point_at_the_place(self) -> None:
        cases = {
            "SHOW": "expected: TABLE",
            "SHOW nodes WHERE": "expected: NAME",
            "DRAIN NODE x": "at column 7",
            "": "(empty)",
            "PUT TENANT a TOKEN SHA256 'abc' BUDGET 1": "token_sha256",
            "SET PRIORITY desk 12": "priority",
        }
        for text, part in cases.items():
            with self.subTest(text=text):
                refusal = parse(text)
                assert isinstance(refusal, Refusal)
                self.assertIs(refusal.kind, ErrorKind.BAD_REQUEST)
                self.assertIn(part, refusal.detail)
