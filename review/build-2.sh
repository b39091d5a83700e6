#!/bin/sh
# Builds what the scripts of the second review start beside the deploy file's build: nothing has to be compiled.
# Checks that the stand-ins, the project's and those of review/standins-2, can be imported from target/deps and src.
cd "$(dirname "$0")/.." || exit 2
PYTHONDONTWRITEBYTECODE=1 PYTHONPATH=target/deps:src:review/standins-2 exec python3 -S -c "import bendshed.rehearsal.site.metadata, small_site"
