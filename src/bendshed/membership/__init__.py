"""Cluster membership: SWIM with suspicion, as a pure state machine and the service that runs it."""
