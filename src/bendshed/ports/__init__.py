"""Abstract ports to everything outside the decisions; one adapter file per back end."""
