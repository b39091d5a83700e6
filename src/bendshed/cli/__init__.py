"""The command line interface (cleo)."""
