"""Background tasks that must not end silently, and garbage collection of long-lived processes."""

import asyncio
import gc
from collections.abc import Coroutine
from typing import Any

from bendshed.logs import PartLog

log = PartLog("tasks")


def start_loop(work: Coroutine[Any, Any, None], name: str) -> "asyncio.Task[None]":
    """Start a task that runs until it is cancelled.

    If the task fails, the event loop's exception handler is called, which ends the process
    (``process.py``), since a restarted node is better than one without one of its components.
    """
    task = asyncio.get_running_loop().create_task(work, name=name)
    task.add_done_callback(_report_failure)
    return task


def _report_failure(task: "asyncio.Task[None]") -> None:
    if task.cancelled() or task.exception() is None:
        return
    error = task.exception()
    log.say("background task failed", part=task.get_name(), error=repr(error))
    context = {"message": f"{task.get_name()} failed", "exception": error, "task": task}
    task.get_loop().call_exception_handler(context)


def enable_garbage_collection() -> None:
    """Enable garbage collection; imported objects live forever and are excluded from it."""
    gc.freeze()
    gc.enable()
