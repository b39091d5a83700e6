"""The operators' configuration: its document, its changes and how it spreads."""
