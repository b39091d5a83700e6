"""Entry point of ``python -m bendshed``, which runs the ``bendshed`` command."""

import sys

from bendshed.cli.main import main

sys.exit(main())
