"""Formats of the users' platform: settings, objects, request headers, refusal responses."""

import contextlib
import io
import os
import tempfile
import unittest
from pathlib import Path

import orjson
import yaml

from bendshed.errors import ANSWERS, ErrorKind, Refusal, WasRun
from bendshed.model.runner import RunnerState
from bendshed.model.service_document import RouteKind
from bendshed.placement.distance import LinkSettings
from bendshed.platform import names
from bendshed.platform.caller_protocol import PlatformCallerProtocol, status_of
from bendshed.platform.main import main
from bendshed.platform.runner_protocol import PlatformRunnerProtocol
from bendshed.platform.settings import SiteSettingsInvalid, load_site_settings
from bendshed.platform.translate import read_document, read_runner
from bendshed.policy import Policy
from bendshed.ports.caller_protocol import ReceivedRequest
from bendshed.ports.http_messages import Headers, ResponseHead
from bendshed.ports.objects import StoredObject
from bendshed.ports.runner import ResponseClass, RunnerDispatch, ServiceRequest

SETTINGS = {
    "nodeName": "front-1",
    "ip": "10.1.0.38",
    "zone": "a",
    "listen": {"front": "10.1.0.38:8149", "ready": "10.1.0.38:8141"},
    "portRange": [7380, 7395],
    "platform": {"addr": "10.200.1.7:8142", "form": "objects"},
    "somethingNew": {"x": 1},
}
ROUTE = {
    "name": "r",
    "host": "h.example",
    "pathPrefix": "/p/",
    "kind": "stream",
    "timeoutMs": 4000,
    "targetMs": 200,
    "priority": 1,
    "split": [{"service": "s", "weight": 90}, {"service": "t", "weight": 10}],
    "maxAttempts": 1,
    "retain": True,
    "retainS": 60.0,
    "sticky": True,
    "resumable": False,
    "gapTargetMs": 200,
}
SPEC = {
    "version": 7,
    "routes": [ROUTE],
    "services": [{"name": "s", "maxConns": 160, "engine": {"slots": 12, "eventTokens": 9}}],
    "limits": {"maxBodyBytes": 10, "idleTimeoutMs": 15000},
}


class SettingsTest(unittest.TestCase):
    def load(self, content: str) -> object:
        with tempfile.TemporaryDirectory() as folder:
            path = Path(folder) / "node.yaml"
            path.write_text(content)
            return load_site_settings({names.SETTINGS_VARIABLE: str(path)})

    def test_unknown_fields_are_ignored(self) -> None:
        settings = self.load(yaml.safe_dump(SETTINGS))
        self.assertEqual(str(settings.peer_address), "10.1.0.38:7380")  # type: ignore[attr-defined]

    def test_deploy_template_loads_like_plain_yaml(self) -> None:
        template = Path(__file__).parent.parent / "deploy" / "settings.template"
        filled = template.read_text().replace("{{.|json}}", orjson.dumps(SETTINGS).decode())
        self.assertEqual(self.load(filled), self.load(yaml.safe_dump(SETTINGS)))

    def test_one_turn_log_group_per_region(self) -> None:
        zones = {"zones": {"a": "east", "b": "west"}}
        for changes, homes in (
            (zones, ("east", "west")),
            ({"zones": {"a": "east", "b": "east"}}, ("",)),
            ({}, ("",)),
            ({**zones, "faultTolerance": {"regions": 1}}, ("",)),
            ({**zones, "policy": {"regional_groups": False}}, ("",)),
        ):
            with self.subTest(changes=changes):
                settings = self.load(yaml.safe_dump({**SETTINGS, **changes}))
                self.assertEqual(settings.turn_groups.homes, homes)  # type: ignore[attr-defined]

    def test_policy_section_beside_platform_fields(self) -> None:
        content = {"site": SETTINGS, "policy": {"relays": False}}
        settings = self.load(orjson.dumps(content).decode())
        self.assertEqual(settings.policy, Policy(relays=False))  # type: ignore[attr-defined]
        for policy, named in (({"relay": False}, "policy.relay"), ({"relays": "no"}, "relays")):
            with self.assertRaises(SiteSettingsInvalid) as caught:
                self.load(orjson.dumps({"site": SETTINGS, "policy": policy}).decode())
            self.assertIn(named, str(caught.exception))

    def test_placement_section_beside_platform_fields(self) -> None:
        content = {"site": SETTINGS, "placement": {"region_ms_per_kb": 0.5}}
        settings = self.load(orjson.dumps(content).decode())
        self.assertEqual(settings.placement, LinkSettings(region_ms_per_kb=0.5))  # type: ignore[attr-defined]
        cases: dict[str, object] = {
            "placement.region_price": {"region_price": 1},
            "placement.zone_ms_per_kb": {"zone_ms_per_kb": -1},
            "placement.region_mbit_per_s": {"region_mbit_per_s": "30 Mbit"},
            "placement": [1],
            "placement: not an object": 5,
        }
        for field, placement in cases.items():
            with self.subTest(field=field), self.assertRaises(SiteSettingsInvalid) as caught:
                self.load(orjson.dumps({"site": SETTINGS, "placement": placement}).decode())
            self.assertIn(field, str(caught.exception))

    def test_errors_name_the_invalid_field(self) -> None:
        cases = {
            "platform": {name: value for name, value in SETTINGS.items() if name != "platform"},
            "listen.front": {**SETTINGS, "listen": {"front": "here"}},
            "portRange": {**SETTINGS, "portRange": "many"},
            "ip": {**SETTINGS, "ip": "host.example"},
        }
        for field, content in cases.items():
            with self.subTest(field=field), self.assertRaises(SiteSettingsInvalid) as caught:
                self.load(yaml.safe_dump(content))
            self.assertIn(field, str(caught.exception))
            self.assertNotIn("\n", str(caught.exception))
            with self.assertRaises(SiteSettingsInvalid) as caught:
                self.load(orjson.dumps(content).decode())
            self.assertIn(field, str(caught.exception))

    def test_invalid_or_missing_file_is_rejected(self) -> None:
        with self.assertRaises(SiteSettingsInvalid):
            self.load("{unclosed")
        with self.assertRaises(SiteSettingsInvalid):
            self.load("- [unclosed")
        with self.assertRaises(SiteSettingsInvalid):
            load_site_settings({})
        with self.assertRaises(SiteSettingsInvalid):
            load_site_settings({names.SETTINGS_VARIABLE: os.devnull + "/no"})

    def test_unknown_role_exits_with_2(self) -> None:
        stderr = io.StringIO()
        with contextlib.redirect_stderr(stderr):
            self.assertEqual(main(["leader"]), 2)
        self.assertIn("give one role", stderr.getvalue())


class ObjectParsingTest(unittest.TestCase):
    def test_configuration(self) -> None:
        document = read_document(orjson.loads(orjson.dumps(SPEC)))
        (route,) = document.routes
        self.assertEqual((document.version, route.kind), (7, RouteKind.STREAM))
        self.assertEqual([part.weight for part in route.targets], [90, 10])
        self.assertEqual((route.keeps_turns, route.retention_ms), (True, 60_000))
        engine = document.services["s"].engine
        assert engine is not None
        self.assertEqual(engine.event_tokens, 9)
        self.assertEqual(document.limits.max_body_bytes, 10)
        self.assertEqual(document.limits.max_header_bytes, 16_384)

    def test_runner(self) -> None:
        spec = {"service": "s", "addr": "10.0.0.9:80", "zone": "a", "slots": 12, "state": "ready"}
        ready = read_runner(StoredObject("i-1", 3, spec, None))
        self.assertEqual((ready.runner_id, ready.state), ("i-1", RunnerState.READY))
        leaving = read_runner(StoredObject("i-1", 4, {**spec, "state": "draining"}, None))
        self.assertEqual(leaving.state, RunnerState.DRAINING)

    def test_software_version_that_is_no_text_counts_as_unknown(self) -> None:
        spec = {"service": "s", "addr": "10.0.0.9:80", "state": "ready"}
        versions = [
            read_runner(StoredObject("i-1", 3, {**spec, **row}, None)).software_version
            for row in ({"version": "v1.1"}, {}, {"version": 7}, {"version": ["v1"]})
        ]
        self.assertEqual(versions, ["v1.1", "", "", ""])


def read(headers: Headers, raw_path: bytes = b"/p/a%2Fb", query: bytes = b"x=%20") -> object:
    received = ReceivedRequest(b"POST", raw_path, query, headers, b"body", 0.0)
    return PlatformCallerProtocol().read(received)


TURN: Headers = [
    (b"host", b"h.example"),
    (b"x-request-id", b"r1"),
    (b"x-program-id", b"p1"),
    (b"x-session-id", b"s1"),
    (b"x-token-budget", b"2304"),
    (b"x-token-counts", b"1840,288"),
    (b"x-previous-turn", b"t0"),
    (b"x-deadline-ms", b"4000"),
    (b"x-expect-instance", b"forged"),
    (b"x-urgency", b"0"),
    (b"connection", b"keep-alive, x-mine"),
    (b"x-mine", b"1"),
    (b"x-other", b"2"),
    (b"transfer-encoding", b"chunked"),
]


class CallerProtocolTest(unittest.TestCase):
    def turn(self) -> ServiceRequest:
        request = read(TURN)
        assert isinstance(request, ServiceRequest)
        return request

    def test_turn_headers(self) -> None:
        request = self.turn()
        assert request.turn is not None
        self.assertEqual(request.target, b"/p/a%2Fb?x=%20")
        self.assertEqual((request.wait_ms, request.session), (4000, "p1"))
        self.assertEqual(request.turn.budget_tokens, 2304)
        self.assertEqual((request.turn.max_answer_tokens, request.turn.previous_turn), (288, "t0"))

    def test_headers_of_a_resumed_stream(self) -> None:
        request = read([*TURN, (b"last-event-id", b"7"), (b"resumes", b"r0")])
        assert isinstance(request, ServiceRequest)
        self.assertEqual((request.last_event_id, request.resumes), ("7", "r0"))

    def test_forwarded_headers(self) -> None:
        passed = [name for name, _ in self.turn().headers]
        self.assertIn(b"x-other", passed)
        self.assertIn(b"x-request-id", passed)
        for name in (b"x-expect-instance", b"x-urgency", b"x-mine", b"connection"):
            self.assertNotIn(name, passed)
        for name in (b"transfer-encoding", b"x-deadline-ms"):
            self.assertNotIn(name, passed)

    def test_invalid_headers_are_refused(self) -> None:
        for headers in (
            [(b"host", b"h")],
            [(b"x-request-id", b"r"), (b"x-deadline-ms", b"soon")],
            [(b"x-request-id", b"r"), (b"x-token-counts", b"many")],
        ):
            with self.subTest(headers=headers):
                refusal = read(headers)
                assert isinstance(refusal, Refusal)
                self.assertEqual(refusal.kind, ErrorKind.BAD_REQUEST)


class RunnerProtocolTest(unittest.TestCase):
    def test_request_to_runner(self) -> None:
        document = read_document(SPEC)
        request = read(TURN)
        assert isinstance(request, ServiceRequest)
        spec = {"service": "s", "addr": "10.0.0.9:80", "state": "ready"}
        target = read_runner(StoredObject("i-1", 3, spec, None))
        protocol = PlatformRunnerProtocol()
        dispatch = RunnerDispatch(document.routes[0], target, "", True, 1, 1234)
        sent = protocol.build_request(request, b"all", dispatch)
        fields = dict(sent.headers)
        self.assertEqual(fields[names.DEADLINE_MS], b"1234")
        self.assertEqual(fields[names.EXPECT_RUNNER], b"i-1")
        self.assertEqual(fields[names.URGENCY], b"1")
        self.assertEqual(sent.body, b"all")
        own_response = ResponseHead(200, [(b"X-Request-Id", b"r1")])
        other_response = ResponseHead(200, [(b"X-Request-Id", b"r2")])
        self.assertEqual((sent.matches(own_response), sent.matches(other_response)), (True, False))
        self.assertFalse(sent.matches(ResponseHead(200)))

    def test_proofs_that_request_was_not_run(self) -> None:
        protocol = PlatformRunnerProtocol()
        refused_response = ResponseHead(503, [(b"X-Not-Run", b"1")])
        self.assertEqual(protocol.classify(refused_response), ResponseClass.NOT_RUN)
        self.assertEqual(protocol.classify(ResponseHead(421)), ResponseClass.OTHER_RUNNER)
        for status in (500, 503, 504, 429, 400):
            self.assertEqual(protocol.classify(ResponseHead(status)), ResponseClass.ANSWERED)


class RefusalStatusTest(unittest.TestCase):
    def test_not_run_status_only_if_nothing_was_run(self) -> None:
        not_run_statuses = (402, 404, 408, 421, 429, 503)
        for kind in ErrorKind:
            status = status_of(Refusal(kind, ""))
            if ANSWERS[kind].ran is not WasRun.NO:
                self.assertNotIn(status, not_run_statuses, kind)
