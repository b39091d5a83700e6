"""Turns of agent programs that callers continue by name: kept chains and token budgets."""
