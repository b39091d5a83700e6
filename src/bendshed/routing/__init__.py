"""Chooses the runner of a call, or lets the call wait: soft state and a policy."""
