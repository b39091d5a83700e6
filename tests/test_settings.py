import tempfile
import unittest
from pathlib import Path

from cleo.application import Application
from cleo.testers.command_tester import CommandTester

from bendshed.cli.settings import SettingsCheckCommand, SettingsShowCommand
from bendshed.settings.load import SettingsInvalid, load_settings

GOOD = """
[node]
name = "n1"
zone = "a"
host = "127.0.0.1"
[platform]
object_api = "http://127.0.0.1:1"
machine_list = "http://127.0.0.1:1"
[operators]
token_sha256 = "%s"
""" % ("a" * 64)

BAD = """
[node]
name = "bad name"
zone = "a"
host = "somewhere"
peer_port = 70000
colour = "red"
[platform]
object_api = "ftp://x"
"""


class SettingsTest(unittest.TestCase):
    def setUp(self) -> None:
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.path = Path(folder.name) / "node.toml"

    def test_precedence_is_flags_environment_file_default(self) -> None:
        self.path.write_text(GOOD)
        environment = {"BENDSHED_NODE__ZONE": "b", "BENDSHED_GROUPS__COUNT": "16"}
        loaded = load_settings(self.path, {"node.zone": "c"}, environment)
        self.assertEqual(loaded.settings.node.zone, "c")
        self.assertEqual(loaded.settings.groups.count, 16)
        sources = {row.field: row.source for row in loaded.effective()}
        self.assertEqual(sources["node.zone"], "flag")
        self.assertEqual(sources["groups.count"], "environment")
        self.assertEqual(sources["node.name"], str(self.path))
        self.assertEqual(sources["groups.replicas"], "default")

    def test_all_problems_are_reported_together(self) -> None:
        self.path.write_text(BAD)
        with self.assertRaises(SettingsInvalid) as caught:
            load_settings(self.path, {}, {})
        fields = {problem.field for problem in caught.exception.problems}
        expected = {
            "node.name",
            "node.host",
            "node.peer_port",
            "node.colour",
            "platform.object_api",
            "platform.machine_list",
        }
        self.assertEqual(fields, expected)
        unknown = next(p for p in caught.exception.problems if p.field == "node.colour")
        self.assertIn("known here: name, zone", unknown.hint)

    def test_check_exits_2_and_prints_each_field(self) -> None:
        self.path.write_text(BAD)
        tester = self._tester(SettingsCheckCommand())
        self.assertEqual(tester.execute(str(self.path)), 2)
        errors = tester.io.fetch_error()
        for field in ("node.host", "node.colour", "platform.machine_list"):
            self.assertIn(field, errors)

    def test_invalid_toml_file_is_named(self) -> None:
        self.path.write_text("[node\n")
        tester = self._tester(SettingsCheckCommand())
        self.assertEqual(tester.execute(str(self.path)), 2)
        self.assertIn(str(self.path), tester.io.fetch_error())

    def test_show_hides_secrets(self) -> None:
        self.path.write_text(GOOD)
        tester = self._tester(SettingsShowCommand())
        self.assertEqual(tester.execute(f"{self.path} --json"), 0)
        text = tester.io.fetch_output()
        self.assertNotIn("a" * 64, text)
        self.assertIn("(hidden)", text)

    def test_example_file_is_valid(self) -> None:
        example = Path(__file__).parent.parent / "docs" / "operators" / "example-node.toml"
        self.assertEqual(load_settings(example, {}, {}).settings.groups.replicas, 1)

    @staticmethod
    def _tester(command: SettingsCheckCommand | SettingsShowCommand) -> CommandTester:
        Application().add(command)
        return CommandTester(command)
