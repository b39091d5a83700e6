import unittest

from bendshed.identifiers import HashRing, group_of, rendezvous_rank

KEYS = [f"runner-{number}" for number in range(3000)]
NODES = [f"node-{number}" for number in range(50)]


class IdentifiersTest(unittest.TestCase):
    def test_ring_distributes_keys_and_moves_few_on_removal(self) -> None:
        before = {key: HashRing(NODES).owner(key) for key in KEYS[:1]}
        ring, smaller = HashRing(NODES), HashRing(NODES[:-1])
        owners = {key: ring.owner(key) for key in KEYS}
        self.assertEqual(owners[KEYS[0]], before[KEYS[0]])
        counts = [list(owners.values()).count(node) for node in NODES]
        self.assertGreater(min(counts), 0)
        self.assertLess(max(counts), 4 * len(KEYS) // len(NODES))
        moved = {key for key in KEYS if smaller.owner(key) != owners[key]}
        self.assertEqual({owners[key] for key in moved}, {NODES[-1]})

    def test_empty_ring_has_no_owner(self) -> None:
        self.assertEqual(HashRing(()).owner("x"), "")

    def test_ranks_and_groups_are_stable(self) -> None:
        self.assertEqual(rendezvous_rank("k", NODES), rendezvous_rank("k", reversed(NODES)))
        self.assertEqual(group_of("program", 8), group_of("program", 8))
        self.assertEqual({group_of(key, 8) for key in KEYS}, set(range(8)))
