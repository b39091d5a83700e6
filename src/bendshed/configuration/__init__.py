"""The operators' configuration: its document, its changes and their distribution to nodes."""
