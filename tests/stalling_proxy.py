"""A TCP proxy whose open connections can be stalled without being closed."""

import asyncio
import enum

from bendshed.model.address import Address

LOCAL = "127.0.0.1"
CHUNK_BYTES = 65_536


class StalledDirection(enum.Enum):
    """Direction in which the bytes of the open connections are lost."""

    BOTH = "both"
    TO_TARGET = "to the target"
    FROM_TARGET = "from the target"


class StallingProxy:
    """Forwards bytes; ``stall`` makes the connections that are open at that time lose their bytes.

    Stalled connections stay open: bytes written to them are read and acknowledged, but discarded.
    Connections opened later work.

    Attributes:
        num_opened: number of accepted connections.

    """

    def __init__(self, target: Address) -> None:
        self.num_opened = 0
        self._target = target
        self._server: asyncio.Server | None = None
        self._stalled: set[tuple[int, StalledDirection]] = set()
        self._writers: list[asyncio.StreamWriter] = []
        self._tasks: set[asyncio.Task[None]] = set()

    async def start(self) -> Address:
        """Listen on a free port."""
        self._server = await asyncio.start_server(self._accept, LOCAL, 0)
        return Address(*self._server.sockets[0].getsockname()[:2])

    def stall(self, direction: StalledDirection = StalledDirection.BOTH) -> None:
        """Discard all further bytes of the connections that are open."""
        for number in range(1, self.num_opened + 1):
            self._stalled.add((number, direction))

    async def stop(self) -> None:
        """Close everything."""
        assert self._server is not None
        self._server.close()
        for writer in self._writers:
            writer.transport.abort()
        for task in list(self._tasks):
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    async def _accept(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.num_opened += 1
        number = self.num_opened
        self._writers.append(writer)
        to_reader, to_writer = await asyncio.open_connection(self._target.host, self._target.port)
        self._writers.append(to_writer)
        for source, sink, direction in (
            (reader, to_writer, StalledDirection.TO_TARGET),
            (to_reader, writer, StalledDirection.FROM_TARGET),
        ):
            task = asyncio.get_running_loop().create_task(
                self._forward(source, sink, number, direction)
            )
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)

    async def _forward(
        self,
        source: asyncio.StreamReader,
        sink: asyncio.StreamWriter,
        number: int,
        direction: StalledDirection,
    ) -> None:
        try:
            while content := await source.read(CHUNK_BYTES):
                if not self._is_stalled(number, direction):
                    sink.write(content)
                    await sink.drain()
        except ConnectionError:
            pass  # one side has closed; the other is closed below unless it is stalled
        if not self._is_stalled(number, direction):
            sink.close()

    def _is_stalled(self, number: int, direction: StalledDirection) -> bool:
        return not self._stalled.isdisjoint({(number, direction), (number, StalledDirection.BOTH)})
