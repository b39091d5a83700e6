"""Replicated log of agent program turns: stored turn chains and token budgets."""
