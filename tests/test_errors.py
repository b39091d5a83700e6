import unittest

from bendshed.errors import ANSWERS, ErrorKind, Refusal, WasRun, parse_kind

CLIENT_OR_SERVER_ERROR = range(400, 600)


class ErrorTableTest(unittest.TestCase):
    def test_every_kind_has_an_answer(self) -> None:
        self.assertEqual(set(ANSWERS), set(ErrorKind))

    def test_answers_are_consistent(self) -> None:
        for kind, answer in ANSWERS.items():
            with self.subTest(kind=kind):
                self.assertIn(answer.status, CLIENT_OR_SERVER_ERROR)
                self.assertEqual(answer.retryable, answer.retry_after_s is not None)
                if answer.status < 409 or answer.status == 429:
                    self.assertIs(answer.ran, WasRun.NO)

    def test_bodies_have_the_openai_format_and_the_kind(self) -> None:
        for kind in ErrorKind:
            body = Refusal(kind, "why").body()["error"]
            assert isinstance(body, dict)
            self.assertEqual((body["message"], body["kind"]), ("why", kind.value))
            self.assertEqual(body["ran"], ANSWERS[kind].ran.value)

    def test_kind_of_a_later_version_is_internal(self) -> None:
        self.assertIs(parse_kind("kind_of_a_later_version"), ErrorKind.INTERNAL)
