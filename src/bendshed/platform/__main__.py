"""Entry point of ``python -m bendshed.platform ROLE``."""

import sys

from bendshed.platform.main import main

sys.exit(main(sys.argv[1:]))
