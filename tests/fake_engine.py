"""Fake engines with the interface of ``EngineCalls``, and their faults.

Time is virtual: a token takes ``TOKEN_SECONDS``. Each engine keeps a journal
of the request keys of the streams that it started, and their journal keys.
"""

from collections import deque
from contextlib import asynccontextmanager

import trio
from expression import Result

from limpetdrift.protocol.engine import StreamLine
from limpetdrift.protocol.node import Endpoint, Role
from limpetdrift.protocol.placement import Placement
from limpetdrift.transport.messages import Address
from limpetdrift.verdict import (
    FailureError,
    Reason,
    may_have_run,
    not_run,
)

TOKEN_SECONDS = 0.01
PREFILL_SECONDS = 0.05
IDLE_TIMEOUT_SECONDS = 0.5


def token_text(prompt, index):
    """Return the token at an offset, which is the same on all engines."""
    suffix = prompt[-6:]
    return f'{suffix}.{index} '


def whole_text(request):
    """Return the whole answer of a run request."""
    return ''.join(
        token_text(request.prompt, index) for index in range(request.max_tokens)
    )


class FakeEngine:
    """One engine: its streams, its journal, and its pending faults."""

    def __init__(self, *, index):
        self.endpoint = Endpoint(
            name=f'engine-{index}',
            role=Role.ENGINE,
            address=Address(host='127.0.0.1', port=9000 + index),
            failure_domain='a',
            model='m',
        )
        self.alive = True
        self.incarnation = 0
        self.streams = {}
        self.journal = []
        self.journal_keys = []
        self.start_faults = deque()
        self.line_faults = deque()

    def kill(self):
        """Lose all streams and refuse connections."""
        self.alive = False
        self.incarnation += 1
        self.streams.clear()

    def restart(self):
        """Accept connections again, without any streams."""
        self.alive = True


class FakeEngineCalls:
    """A fake of ``EngineCalls`` for several engines."""

    def __init__(self, *, count):
        self.engines = [FakeEngine(index=index) for index in range(count)]
        self.placements = 0

    def at(self, address):
        """Return the engine with this address."""
        return self.engines[address.port - 9000]

    async def place(self, request):
        """Choose engines round-robin, as a placer would."""
        await trio.sleep(0.001)
        usable = [
            engine
            for engine in self.engines
            if engine.endpoint.name not in request.excluded
        ]
        if not usable:
            return Result.Error(not_run(Reason.NO_ENDPOINT))
        self.placements += 1
        chosen = usable[self.placements % len(usable)]
        return Result.Ok(Placement(endpoint=chosen.endpoint, grant_id='g'))

    def release(self, placement, outcome):
        """Do nothing: placements hold no grants here."""

    @asynccontextmanager
    async def start(self, address, start):
        """Start a stream, as ``EngineCalls.start``."""
        engine = self.at(address)
        await trio.sleep(0.001)
        if not engine.alive:
            raise FailureError(not_run(Reason.CONNECT_FAILED))
        fault = engine.start_faults.popleft() if engine.start_faults else ''
        if fault == 'refuse':
            raise FailureError(not_run(Reason.NO_MEMORY))
        if fault == 'lose-request':
            await trio.sleep(IDLE_TIMEOUT_SECONDS)
            raise FailureError(may_have_run(Reason.IDLE_TIMEOUT))
        engine.journal.append(start.request_key)
        engine.journal_keys.append(start.journal_key)
        engine.streams[start.stream_id] = (start, trio.current_time())
        if fault == 'lose-answer':
            raise FailureError(may_have_run(Reason.CONNECTION_BROKEN))
        yield self._lines(engine, start.stream_id, start.start_offset)

    @asynccontextmanager
    async def resume(self, address, stream_id, offset):
        """Read a stream again, as ``EngineCalls.resume``."""
        engine = self.at(address)
        await trio.sleep(0.001)
        if not engine.alive:
            raise FailureError(not_run(Reason.CONNECT_FAILED))
        if stream_id not in engine.streams:
            raise FailureError(may_have_run(Reason.STREAM_UNKNOWN))
        yield self._lines(engine, stream_id, offset)

    async def cancel(self, address, stream_id):
        """Free a stream."""
        await trio.sleep(0.001)
        self.at(address).streams.pop(stream_id, None)
        return True

    async def _lines(self, engine, stream_id, offset):
        start, started_at = engine.streams[stream_id]
        incarnation = engine.incarnation
        for index in range(offset, start.max_tokens + 1):
            tokens_due = index - start.start_offset + 1
            due = started_at + PREFILL_SECONDS + tokens_due * TOKEN_SECONDS
            await trio.sleep_until(due)
            if engine.incarnation != incarnation:
                raise FailureError(may_have_run(Reason.CONNECTION_BROKEN))
            async for line in self._faulty(engine, start, index):
                yield (line,)

    async def _faulty(self, engine, start, index):
        fault = engine.line_faults.popleft() if engine.line_faults else ''
        line = _line(start, index)
        if fault == 'cut':
            raise FailureError(may_have_run(Reason.CONNECTION_BROKEN))
        if fault == 'silent':
            await trio.sleep(IDLE_TIMEOUT_SECONDS)
            raise FailureError(may_have_run(Reason.IDLE_TIMEOUT))
        if fault == 'crossed':
            yield StreamLine(
                stream_id='another', offset=index, text='not yours '
            )
        if fault == 'doubled':
            yield line
        if fault != 'dropped':
            yield line


def _line(start, index):
    if index == start.max_tokens:
        return StreamLine(
            stream_id=start.stream_id,
            offset=index,
            finish='stop',
        )
    return StreamLine(
        stream_id=start.stream_id,
        offset=index,
        text=token_text(start.prompt, index),
    )
