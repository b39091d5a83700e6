"""Retry and give up: what is sent again, how often, until when, and what a caller learns.

Pure: no clock, no log, no connection. ``history`` counts what happened to one forwarded request,
``decisions`` decides by it; ``retry_budget`` is the other rule, of the product's own interface.
"""
