"""Entry of the platform's processes: puts ``src`` on the path and starts the named role."""

import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent / "src"))

from bendshed.platform.main import main

sys.exit(main(sys.argv[1:]))
