"""What the two demos share: their table, their failure, their exit code."""

import asyncio
import time
from collections.abc import Callable, Coroutine, Sequence
from typing import Any


class DemoFailed(Exception):
    """Something that must hold did not."""


def print_rows(rows: Sequence[Sequence[object]], width: int) -> None:
    """Print rows with columns of one width."""
    for row in rows:
        print("  ".join(f"{cell!s:>{width}}" for cell in row))


def run(name: str, demo: Callable[[], Coroutine[Any, Any, None]]) -> int:
    """Run a demo; return the exit code."""
    started_s = time.monotonic()
    try:
        asyncio.run(demo())
    except DemoFailed as error:
        print(f"demo failed: {error}")
        return 1
    print(f"\n{name} done in {time.monotonic() - started_s:.1f} s")
    return 0
