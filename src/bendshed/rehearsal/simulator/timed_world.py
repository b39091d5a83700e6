"""What both simulated worlds share: virtual time, the count of faults, and their end."""

import asyncio
from collections.abc import Callable

from bendshed.rehearsal.simulator.loop import VirtualTimeLoop

CHECK_S = 0.1
"""Virtual time between two looks at a condition."""


class TimedWorld:
    """A world on a loop of its own.

    Attributes:
        faults: how often each kind of fault was injected.

    """

    __slots__ = ()
    loop: VirtualTimeLoop
    faults: dict[str, int]

    def run_for(self, seconds: float) -> None:
        """Let virtual time pass."""
        self.loop.run_until_complete(asyncio.sleep(seconds))

    def wait_for(self, condition: Callable[[], bool], limit_s: float) -> None:
        """Let time pass until a condition holds; raise ``TimeoutError`` after the limit."""
        until_s = self.loop.time() + limit_s
        while not condition():
            if self.loop.time() > until_s:
                raise TimeoutError(f"not reached in {limit_s} virtual seconds")
            self.run_for(CHECK_S)

    def count(self, fault: str) -> None:
        """Count an injected fault."""
        self.faults[fault] = self.faults.get(fault, 0) + 1

    def close(self) -> None:
        """End everything that still runs."""
        self.loop.abandon()
