"""Sends the lines of streams to callers, and injects faults into them.

The faults duplicate each line, swap the answers of two streams, or break the
connection after a number of tokens.
"""

from collections.abc import Callable

import trio

from limpet_standins.controls import Controls
from limpet_standins.stream_run import StreamRun
from limpetdrift.protocol.codec import LINES_HEADERS
from limpetdrift.transport.server import Exchange

# Longest wait for a second stream to swap answers with.
CROSSING_WAIT_SECONDS = 1.0
_OK = 200


class StreamWriter:
    """Writes streams; calls ``on_delivered`` after a stream's last line."""

    def __init__(
        self,
        *,
        controls: Controls,
        on_delivered: Callable[[StreamRun], None],
    ) -> None:
        self._controls = controls
        self._on_delivered = on_delivered
        self._swapped: dict[int, StreamRun] = {}
        self._unpaired: StreamRun | None = None

    async def send(
        self,
        exchange: Exchange,
        run: StreamRun,
        offset: int,
    ) -> None:
        """Send tokens from an offset on as they are decoded, and the last line.

        The offset counts tokens from the start of the answer.
        """
        sent_run = await self._maybe_swap(run)
        await exchange.start(_OK, LINES_HEADERS)
        position = offset
        while not (sent_run.ended and position >= sent_run.next_offset):
            changed = sent_run.changed
            end = sent_run.next_offset
            await self._send_tokens(exchange, sent_run, (position, end))
            self._maybe_break(end - offset)
            position = max(position, end)
            if end == sent_run.next_offset and not sent_run.ended:
                await changed.wait()
            await self._controls.wait_while_frozen()
        await exchange.send(self._maybe_duplicate(sent_run.last_line()))
        await exchange.finish()
        self._on_delivered(sent_run)

    async def _send_tokens(
        self,
        exchange: Exchange,
        run: StreamRun,
        span: tuple[int, int],
    ) -> None:
        start, end = span
        limit = self._controls.faults.stop_streams_at
        if limit:
            end = min(end, start + limit)
        lines = [
            self._maybe_duplicate(run.token_line(index))
            for index in range(start, end)
        ]
        if lines:
            await exchange.send(b''.join(lines))

    def _maybe_duplicate(self, line: bytes) -> bytes:
        return line * 2 if self._controls.faults.double_answers else line

    def _maybe_break(self, sent: int) -> None:
        limit = self._controls.faults.stop_streams_at
        if limit and sent >= limit:
            raise trio.BrokenResourceError

    async def _maybe_swap(self, run: StreamRun) -> StreamRun:
        if not self._controls.faults.cross_answers:
            return run
        if self._unpaired is not None and self._unpaired is not run:
            partner = self._unpaired
            self._unpaired = None
            self._swapped[partner.sequence_number] = run
            partner.notify()
            return partner
        self._unpaired = run
        with trio.move_on_after(CROSSING_WAIT_SECONDS):
            while run.sequence_number not in self._swapped:
                await run.changed.wait()
        if self._unpaired is run:
            self._unpaired = None
        return self._swapped.pop(run.sequence_number, run)
