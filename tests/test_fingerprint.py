"""Tries of one request share a fingerprint; other requests do not."""

import unittest
from dataclasses import replace

from bendshed.model.prompt import PromptPart
from bendshed.ports.runner import ServiceRequest, TurnDetails
from bendshed.retries.fingerprint import LOGGED_BYTES, describe, fingerprint_of

TENANT = "t"
TURN = TurnDetails("earlier", 100, 9, (PromptPart("shared", 5), PromptPart("own", 7)), "chain")
REQUEST = ServiceRequest(
    request_id="first",
    method=b"POST",
    target=b"/x?page=1",
    host="h",
    path="/x",
    headers=[(b"x-request-id", b"first")],
    body=b"input",
    wait_ms=4000,
    program_id="p",
    session="p",
    last_event_id="",
    turn=TURN,
    arrived_s=1.0,
)


class FingerprintTest(unittest.TestCase):
    def test_tries_of_one_request_share_it(self) -> None:
        again = replace(
            REQUEST,
            request_id="second",
            headers=[(b"x-request-id", b"second"), (b"last-event-id", b"3")],
            wait_ms=1500,
            last_event_id="3",
            resumes="first",
            arrived_s=2.5,
        )
        self.assertEqual(fingerprint_of(again, TENANT), fingerprint_of(REQUEST, TENANT))

    def test_other_requests_have_another(self) -> None:
        others = [
            replace(REQUEST, method=b"PUT"),
            replace(REQUEST, target=b"/x?page=2"),
            replace(REQUEST, host="g"),
            replace(REQUEST, body=b"other"),
            replace(REQUEST, program_id="q", session="q"),
            replace(REQUEST, session="s"),
            replace(REQUEST, affinity_key="k"),
            replace(REQUEST, turn=None),
            replace(REQUEST, turn=replace(TURN, previous_turn="later")),
            replace(REQUEST, turn=replace(TURN, chain_id="branch")),
            replace(REQUEST, turn=replace(TURN, parts=(PromptPart("shared", 5),))),
        ]
        found = {fingerprint_of(request, TENANT) for request in (REQUEST, *others)}
        found.add(fingerprint_of(REQUEST, "other tenant"))
        self.assertEqual(len(found), len(others) + 2)

    # Guards against equal requests of many callers that count as the tries of one.
    def test_a_request_without_a_session_has_none(self) -> None:
        anonymous = replace(REQUEST, program_id="", session="", turn=None)
        self.assertEqual(fingerprint_of(anonymous, TENANT), b"")
        self.assertEqual(describe(b""), "")

    def test_logs_show_only_its_beginning(self) -> None:
        self.assertEqual(len(describe(fingerprint_of(REQUEST, TENANT))), 2 * LOGGED_BYTES)
