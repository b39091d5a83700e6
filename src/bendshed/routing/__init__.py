"""Which runner takes a call, and when a call waits: soft state and a policy."""
