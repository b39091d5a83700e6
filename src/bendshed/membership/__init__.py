"""Which nodes are alive: SWIM with suspicion, as a pure state machine and its UDP shell."""
