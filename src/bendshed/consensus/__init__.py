"""Replicated groups: a Raft state machine without I/O, and the host that runs many of them."""
