"""Decides whether a request is admitted, and when a rejected caller may retry. Pure."""
