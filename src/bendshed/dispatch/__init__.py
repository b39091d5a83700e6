"""Runs calls: attempts at engines, resume, takeover, retries, and what the caller hears."""
