"""Load pattern: all machines lost power, and every caller waits for the nodes' start.

Grounds for the figures: on a machine with half a core a node had started 0.73 s (p50; p95 0.81 s)
after power, six times as long as where processor time counts nothing (0.13 s), while a leader of
the turn log stood after 0.39 s. Most of that is loading: of 440 ms there were 44 for the replicas'
part, which a node never runs, and a twentieth for collecting garbage that is none.
"""

import subprocess
import sys
import unittest

NEVER_RUN_BY_A_NODE = (
    "bendshed.consensus.host",
    "bendshed.consensus.raft",
    "bendshed.admission.quota_ledger",
    "bendshed.admission.quota_usage",
    "bendshed.placement.cluster_load",
    "bendshed.turns.service",
    "bendshed.turns.state",
    "statistics",
)


class StartTest(unittest.TestCase):
    def test_a_node_loads_nothing_that_only_replicas_run(self) -> None:
        code = (
            "import sys, bendshed.platform.main, bendshed.platform.roles, bendshed.platform.front;"
            f"print([name for name in {NEVER_RUN_BY_A_NODE} if name in sys.modules])"
        )
        done = subprocess.run([sys.executable, "-c", code], capture_output=True, check=True)
        self.assertEqual(done.stdout.decode().strip(), "[]")

    def test_nothing_is_collected_while_a_role_is_loaded_and_all_is_afterwards(self) -> None:
        code = (
            "import gc, unittest.mock as mock;"
            "from bendshed.platform import main, roles;"
            "seen = [];"
            "mock.patch.object(main, 'load_site_settings').start();"
            "mock.patch.object(main, 'listen').start();"
            "mock.patch.object(roles, 'run_role', lambda *_: seen.append(gc.isenabled())).start();"
            "main.main(['node']);"
            "after = gc.isenabled();"
            "gc.disable();"
            "roles._enable_garbage_collection();"
            "print(seen, after, gc.isenabled(), gc.get_freeze_count() > 0)"
        )
        done = subprocess.run([sys.executable, "-c", code], capture_output=True, check=True)
        self.assertEqual(done.stdout.decode().strip(), "[False] True True True")
