"""Replicated groups: a pure Raft state machine and the shell that runs many of them."""
