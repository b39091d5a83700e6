"""The committed protobuf code matches the .proto files."""

import tempfile
import unittest
from pathlib import Path

from grpc_tools import protoc

SOURCE = Path(__file__).parent.parent / "src"
WIRE = SOURCE / "bendshed" / "wire"


class GeneratedCodeTest(unittest.TestCase):
    def test_generated_code_is_current(self) -> None:
        with tempfile.TemporaryDirectory() as folder:
            files = sorted(str(path) for path in WIRE.glob("*.proto"))
            self.assertEqual(protoc.main(["", f"-I{SOURCE}", f"--python_out={folder}", *files]), 0)
            for generated in sorted((Path(folder) / "bendshed" / "wire").glob("*_pb2.py")):
                with self.subTest(file=generated.name):
                    self.assertEqual(generated.read_text(), (WIRE / generated.name).read_text())
