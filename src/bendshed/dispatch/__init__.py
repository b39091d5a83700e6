"""Runs calls: attempts at engines, resumed streams, takeover, retries and answers to callers."""
