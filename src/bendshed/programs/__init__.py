"""Programs and their calls: the replicated state, the leader's service, the shutdown check."""
