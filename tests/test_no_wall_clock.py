"""Code that decides about turns and requests never reads the wall clock, whose steps would affect
it."""

import ast
import unittest
from pathlib import Path

SOURCES = Path(__file__).resolve().parent.parent / "src" / "bendshed"
FOLDERS = ("turns", "services", "consensus")
CLOCKS = {"time", "datetime"}


def imported(path: Path) -> set[str]:
    names: set[str] = set()
    for node in ast.walk(ast.parse(path.read_text())):
        if isinstance(node, ast.Import):
            names.update(alias.name.partition(".")[0] for alias in node.names)
        elif isinstance(node, ast.ImportFrom) and node.module is not None:
            names.add(node.module.partition(".")[0])
    return names


class NoWallClockTest(unittest.TestCase):
    def test_no_module_reads_the_wall_clock(self) -> None:
        for folder in FOLDERS:
            for path in sorted((SOURCES / folder).glob("*.py")):
                with self.subTest(module=f"{folder}/{path.name}"):
                    self.assertFalse(imported(path) & CLOCKS)
                    self.assertNotIn("wall_ms", path.read_text())
