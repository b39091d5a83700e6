"""An asyncio event loop whose time is virtual, with processes that can be paused and killed.

Every callback belongs to the process in whose context it was scheduled. A paused process's due
callbacks wait until it resumes; a killed one's are dropped, so no ``finally`` runs before the world
is closed, as with SIGKILL.
"""

import asyncio
import inspect
import selectors
from collections import deque
from collections.abc import Callable
from contextvars import Context, ContextVar, copy_context
from dataclasses import dataclass, field
from typing import Any

_PROCESS: "ContextVar[SimProcess | None]" = ContextVar("process", default=None)


class Deadlock(Exception):
    """Nothing is scheduled any more."""


@dataclass(slots=True, eq=False)
class SimProcess:
    """One simulated process.

    Attributes:
        parked: callbacks that came due while it was paused.

    """

    name: str
    context: Context = field(init=False)
    paused: bool = False
    dead: bool = False
    parked: list[Callable[[], None]] = field(default_factory=list)

    def __post_init__(self) -> None:
        self.context = copy_context()
        self.context.run(_PROCESS.set, self)

    def kill(self) -> None:
        """End it at once."""
        self.dead = True
        self.parked.clear()

    def resume(self, loop: asyncio.AbstractEventLoop) -> None:
        """Run what came due while it was paused, in order."""
        self.paused = False
        parked, self.parked = self.parked, []
        for callback in parked:
            loop.call_soon(callback, context=self.context.copy())

    def spawn(self, loop: asyncio.AbstractEventLoop, work: Any) -> "asyncio.Task[Any]":
        """Start a coroutine as a task of this process."""
        return loop.create_task(work, context=self.context.copy())


class _VirtualSelector(selectors.SelectSelector):
    """Instead of waiting, move the loop's clock."""

    loop: "VirtualTimeLoop"

    def select(self, timeout: float | None = None) -> list[tuple[selectors.SelectorKey, int]]:
        if timeout is None:
            raise Deadlock
        self.loop.now_s += max(0.0, timeout)
        return []


class VirtualTimeLoop(asyncio.SelectorEventLoop):
    """Deterministic loop; ``now_s`` advances only when nothing is ready."""

    def __init__(self) -> None:
        selector = _VirtualSelector()
        selector.loop = self
        self.now_s = 0.0
        self._is_abandoned = False
        self._tasks: set[asyncio.Task[Any]] = set()
        self._ready: deque[asyncio.Handle]  # the base class's, of callbacks that are due
        super().__init__(selector)
        self.set_task_factory(self._make_task)

    def _make_task(
        self, _loop: asyncio.AbstractEventLoop, work: Any, **options: Any
    ) -> "asyncio.Task[Any]":
        """Hold every task until its end, so that none is collected while it waits.

        A killed process's tasks never end by themselves; asyncio's warning about that is off.
        """
        task: asyncio.Task[Any] = asyncio.Task(work, loop=self, **options)
        task._log_destroy_pending = False  # type: ignore[attr-defined]
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return task

    def _asyncgen_finalizer_hook(self, agen: Any) -> None:
        """A generator of a killed process, or of a closed world, ends without its ``finally``."""
        process = _process_of(None)
        if self._is_abandoned or (process is not None and process.dead):
            return
        super()._asyncgen_finalizer_hook(agen)  # type: ignore[misc]

    def abandon(self) -> None:
        """End all tasks where they wait, killed processes' too, and close.

        Nothing is left for the garbage collector: it would end a coroutine at any later moment,
        without a running loop, and print what that coroutine's ``finally`` raises.
        """
        self._is_abandoned = True
        self.run_until_complete(self._end_tasks())
        self.close()
        asyncio.set_event_loop(None)

    async def _end_tasks(self) -> None:
        """End all tasks, and those that a ``finally`` starts meanwhile."""
        this = asyncio.current_task()
        while self._tasks:
            tasks, self._tasks = self._tasks, set()
            for task in tasks:
                if task is not this:
                    _end_coroutine(task)
            self._ready.clear()  # wake-ups of ended tasks

    def time(self) -> float:
        """Virtual seconds since the loop was made."""
        return self.now_s

    def call_soon(  # type: ignore[override]
        self, callback: Callable[..., object], *args: Any, context: Context | None = None
    ) -> asyncio.Handle:
        """Schedule for the process of the context; ignored once the world is closed."""
        if self.is_closed():
            return asyncio.Handle(callback, args, self, context)
        process = _process_of(context)
        if process is None:
            return super().call_soon(callback, *args, context=context)
        box: list[asyncio.Handle] = []
        handle = super().call_soon(_guarded, process, box, callback, args, context=context)
        box.append(handle)
        return handle

    def call_at(  # type: ignore[override]
        self,
        when: float,
        callback: Callable[..., object],
        *args: Any,
        context: Context | None = None,
    ) -> asyncio.TimerHandle:
        """Schedule for the process of the context; ignored once the world is closed."""
        if self.is_closed():
            return asyncio.TimerHandle(when, callback, args, self, context)
        process = _process_of(context)
        if process is None:
            return super().call_at(when, callback, *args, context=context)
        box: list[asyncio.Handle] = []
        handle = super().call_at(when, _guarded, process, box, callback, args, context=context)
        box.append(handle)
        return handle


def _end_coroutine(task: "asyncio.Task[Any]") -> None:
    """Raise ``GeneratorExit`` where the coroutine waits; raise what its ``finally`` raises."""
    work = task.get_coro()
    if inspect.iscoroutine(work):
        work.close()


def _process_of(context: Context | None) -> SimProcess | None:
    return _PROCESS.get() if context is None else context.get(_PROCESS)


def _guarded(
    process: SimProcess,
    box: list[asyncio.Handle],
    callback: Callable[..., object],
    args: tuple[Any, ...],
) -> None:
    if process.dead:
        return
    if process.paused:
        process.parked.append(lambda: _unless_cancelled(box[0], callback, args))
        return
    callback(*args)


def _unless_cancelled(
    handle: asyncio.Handle, callback: Callable[..., object], args: tuple[Any, ...]
) -> None:
    if not handle.cancelled():
        callback(*args)
