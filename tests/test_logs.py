"""The log never blocks a process, buffers a bounded number of bytes and counts dropped lines."""

import asyncio
import os
import unittest

import orjson

from bendshed.logs import BUFFER_BYTES, BoundedLineWriter

LINE = {"text": "forward: answered", "request": "r1"}


class BoundedLineWriterTest(unittest.IsolatedAsyncioTestCase):
    def setUp(self) -> None:
        self.reader, self.writing_end = os.pipe()
        self.addCleanup(os.close, self.writing_end)
        self.writer = BoundedLineWriter(self.writing_end)

    def read(self) -> list[object]:
        os.set_blocking(self.reader, False)
        content = b""
        while True:
            try:
                part = os.read(self.reader, 1 << 16)
            except BlockingIOError:
                break
            if not part:
                break
            content += part
        return [orjson.loads(line) for line in content.splitlines()]

    async def test_lines_are_written_together_and_in_order(self) -> None:
        for number in range(100):
            self.writer({**LINE, "number": number})
        self.assertEqual(self.read(), [])
        self.writer.flush()
        self.assertEqual([row["number"] for row in self.read()], list(range(100)))  # type: ignore[index]

    async def test_blocked_reader_drops_lines_without_blocking(self) -> None:
        size = len(orjson.dumps(LINE)) + 1
        for _ in range(4 * BUFFER_BYTES // size):
            self.writer(LINE)
            self.writer.flush()
        self.assertGreater(self.writer.num_dropped, 0)
        num_read = 0
        while rows := self.read():
            num_read += len(rows)
            self.writer.flush()
        self.assertEqual(num_read + self.writer.num_dropped, 4 * BUFFER_BYTES // size)

    async def test_line_longer_than_a_pipe_chunk_is_complete(self) -> None:
        self.writer({"text": "x" * 20_000})
        self.writer.flush()
        self.assertEqual(self.read(), [{"text": "x" * 20_000}])

    async def test_closed_reader_drops_lines_without_error(self) -> None:
        os.close(self.reader)
        for _ in range(10):
            self.writer(LINE)
            self.writer.flush()
        self.assertEqual(self.writer.num_dropped, 10)

    async def test_lines_are_written_without_explicit_flush(self) -> None:
        self.writer(LINE)
        loop = asyncio.get_running_loop()
        arrived = asyncio.Event()
        loop.add_reader(self.reader, arrived.set)
        await asyncio.wait_for(arrived.wait(), 10.0)
        loop.remove_reader(self.reader)
        self.assertEqual(self.read(), [LINE])


class WithoutLoopTest(unittest.TestCase):
    def test_line_outside_an_event_loop_is_written_immediately(self) -> None:
        reader, writing_end = os.pipe()
        self.addCleanup(os.close, reader)
        self.addCleanup(os.close, writing_end)
        BoundedLineWriter(writing_end)(LINE)
        self.assertEqual(orjson.loads(os.read(reader, 4096)), LINE)
