"""bendshed: a scheduler for agent programs that runs between callers and model engines."""

__version__ = "0.1.0"
