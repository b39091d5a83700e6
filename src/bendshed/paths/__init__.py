"""Paths to a peer: direct, or relayed by another node."""
