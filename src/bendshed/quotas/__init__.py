"""How much a tenant may ask for: one limit over all nodes (docs/design/0007)."""
