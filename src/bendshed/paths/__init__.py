"""Ways to a peer: direct, or through another node."""
