"""The command line (cleo)."""
