"""Sends a stream's lines to a reader, also doubled, crossed or cut off."""

from collections.abc import Callable

import trio

from limpet_standins.controls import Controls
from limpet_standins.stream_run import StreamRun
from limpetdrift.protocol.codec import LINES_HEADERS
from limpetdrift.transport.server import Exchange

CROSSING_SECONDS = 1.0
_OK = 200


class StreamWriter:
    """Writes streams; ``deliver`` is told when a last line was sent."""

    def __init__(
        self,
        *,
        controls: Controls,
        deliver: Callable[[StreamRun], None],
    ) -> None:
        self._controls = controls
        self._deliver = deliver
        self._partners: dict[int, StreamRun] = {}
        self._alone: StreamRun | None = None

    async def send(
        self,
        exchange: Exchange,
        run: StreamRun,
        offset: int,
    ) -> None:
        """Send the tokens from an offset on as they come, and the end."""
        shown = await self._maybe_crossed(run)
        await exchange.start(_OK, LINES_HEADERS)
        position = offset
        while not (shown.ended and position >= shown.produced):
            changed = shown.changed
            upto = shown.produced
            await self._send_tokens(exchange, shown, (position, upto))
            self._maybe_cut(upto - offset)
            position = max(position, upto)
            if upto == shown.produced and not shown.ended:
                await changed.wait()
            await self._controls.wait_while_frozen()
        await exchange.send(self._repeat(shown.last_line()))
        await exchange.finish()
        self._deliver(shown)

    async def _send_tokens(
        self,
        exchange: Exchange,
        run: StreamRun,
        span: tuple[int, int],
    ) -> None:
        first, upto = span
        limit = self._controls.faults.stop_streams_at
        if limit:
            upto = min(upto, first + limit)
        lines = [
            self._repeat(run.token_line(index)) for index in range(first, upto)
        ]
        if lines:
            await exchange.send(b''.join(lines))

    def _repeat(self, line: bytes) -> bytes:
        return line * 2 if self._controls.faults.double_answers else line

    def _maybe_cut(self, sent: int) -> None:
        limit = self._controls.faults.stop_streams_at
        if limit and sent >= limit:
            raise trio.BrokenResourceError

    async def _maybe_crossed(self, run: StreamRun) -> StreamRun:
        if not self._controls.faults.cross_answers:
            return run
        if self._alone is not None and self._alone is not run:
            partner = self._alone
            self._alone = None
            self._partners[partner.sequence_number] = run
            partner.notify()
            return partner
        self._alone = run
        with trio.move_on_after(CROSSING_SECONDS):
            while run.sequence_number not in self._partners:
                await run.changed.wait()
        if self._alone is run:
            self._alone = None
        return self._partners.pop(run.sequence_number, run)
