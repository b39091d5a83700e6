"""Retry decisions: what is sent again, how often, until when, and which answer its caller gets.

Pure: no clock, no log, no connection. ``history`` counts the attempts of one forwarded request,
``decisions`` decides by them; ``retry_budget`` is the separate rule for calls of the product's own
interface.
"""
