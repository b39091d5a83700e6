"""Runs calls: attempts at engines, resume, takeover, retries, and the caller's answer."""
