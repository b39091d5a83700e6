"""Decides which runners are eligible for a request and which of them gets it. Pure."""
