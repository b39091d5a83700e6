"""Abstract interfaces to everything outside the scheduling logic; one adapter file per back end."""
