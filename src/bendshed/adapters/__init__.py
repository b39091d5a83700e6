"""Adapters of the ports to standard protocols: HTTP, object API, chat engines, TCP."""
