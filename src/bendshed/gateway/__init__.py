"""HTTP side of a node: callers, operators, metrics."""
