"""``python -m bendshed`` is the command ``bendshed``."""

import sys

from bendshed.cli.main import main

sys.exit(main())
