"""Programs and their calls: the replicated state, its leader's service and its client."""
