"""HTTP interface of a node for callers, operators and metrics scrapes."""
