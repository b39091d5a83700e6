"""Adapters of the product's ports to usual protocols: HTTP, object API, chat engines, TCP."""
