"""Adapters to the outside: object API, machine list, engines, and TCP between nodes."""
