"""Streams on a model engine: start, resume, cancel.

This module alone knows the engine's stream format (docs/PLATFORM.md). Its
failures carry verdicts: a documented refusal proves that nothing ran.
"""

from collections.abc import AsyncGenerator, AsyncIterator
from contextlib import asynccontextmanager
from dataclasses import dataclass

import msgspec

from limpetdrift.protocol.codec import decode, json_request
from limpetdrift.protocol.verdict import (
    Failure,
    FailureError,
    Reason,
    may_have_run,
    not_run,
)
from limpetdrift.transport.client import HttpClient, ResponseStream
from limpetdrift.transport.messages import Address, Headers, Request

CANCEL_TIMEOUT_SECONDS = 2.0
_STREAMS = '/v1/streams'
_OK = 200

_REFUSALS = {
    'stream-exists': Reason.CONFLICT,
    'no-memory': Reason.NO_MEMORY,
    'queue-full': Reason.OVERLOADED,
    'leaving': Reason.ENDPOINT_LEAVING,
    'unknown-model': Reason.UNKNOWN_MODEL,
    'hold-unknown': Reason.NO_MEMORY,
    'never-fits': Reason.NO_MEMORY,
}


@dataclass(frozen=True, kw_only=True, slots=True)
class EngineHold:
    """A member of a group, as the group's first engine is told of it."""

    address: str
    hold_id: str


@dataclass(frozen=True, kw_only=True, slots=True)
class StreamStart:
    """What an engine needs to run a stream.

    ``start_offset`` and ``delivered`` give the number and text of the tokens
    that an earlier attempt delivered.
    """

    stream_id: str
    request_key: str
    attempt: int
    holder: str
    incarnation: int
    expires_in_seconds: float
    model: str
    prompt: str
    max_tokens: int
    priority: int = 0
    start_offset: int = 0
    delivered: str = ''
    group: tuple[EngineHold, ...] = ()
    journal_key: str = ''


@dataclass(frozen=True, kw_only=True, slots=True)
class StreamLine:
    """One line of a stream: a token, its end, or its failure."""

    stream_id: str = ''
    offset: int = 0
    text: str = ''
    finish: str = ''
    error: str = ''
    prompt_tokens: int = 0
    cached_tokens: int = 0
    completion_tokens: int = 0


@dataclass(frozen=True, kw_only=True, slots=True)
class EngineRefusal:
    """Why an engine refused; the code is one that it documents."""

    code: str = ''


_line_decoder = msgspec.json.Decoder(StreamLine)
Lines = AsyncIterator[tuple[StreamLine, ...]]


class EngineCalls:
    """Calls to any engine over one HTTP client.

    ``headers`` go with each read of a stream.
    """

    def __init__(
        self,
        *,
        client: HttpClient,
        idle_timeout_seconds: float,
        headers: Headers = (),
    ) -> None:
        self._client = client
        self._idle_timeout_seconds = idle_timeout_seconds
        self._headers = headers

    @asynccontextmanager
    async def start(
        self,
        address: Address,
        start: StreamStart,
    ) -> AsyncGenerator[Lines, None]:
        """Start a stream on a new connection and read its lines.

        Raises ``FailureError``; a refused connection or a documented refusal
        is proved not to have run.
        """
        request = json_request('POST', _STREAMS, start)
        async with self._open(address, request) as lines:
            yield lines

    @asynccontextmanager
    async def resume(
        self,
        address: Address,
        stream_id: str,
        offset: int,
    ) -> AsyncGenerator[Lines, None]:
        """Read a started stream from an offset, on a new connection."""
        request = Request(
            method='GET',
            path=f'{_STREAMS}/{stream_id}',
            query={'offset': str(offset)},
            headers=self._headers,
        )
        async with self._open(address, request) as lines:
            yield lines

    async def cancel(self, address: Address, stream_id: str) -> bool:
        """Cancel a stream and free its memory; return whether it answered."""
        answer = await self._client.fetch(
            address,
            Request(method='DELETE', path=f'{_STREAMS}/{stream_id}'),
            timeout_seconds=CANCEL_TIMEOUT_SECONDS,
        )
        return answer.is_ok()

    @asynccontextmanager
    async def _open(
        self,
        address: Address,
        request: Request,
    ) -> AsyncGenerator[Lines, None]:
        opened = self._client.stream(
            address,
            request,
            idle_timeout_seconds=self._idle_timeout_seconds,
            new_connection=True,
        )
        async with opened as response:
            if response.status != _OK:
                raise FailureError(await _read_refusal(response))
            yield _read_lines(response)


async def _read_refusal(response: ResponseStream) -> Failure:
    refusal = decode(await response.read(), EngineRefusal)
    code = refusal.ok.code if refusal.is_ok() else ''
    if code == 'stream-unknown':
        return may_have_run(Reason.STREAM_UNKNOWN)
    reason = _REFUSALS.get(code)
    if reason is None:
        return may_have_run(Reason.BAD_ANSWER, f'status {response.status}')
    return not_run(reason, code)


async def _read_lines(response: ResponseStream) -> Lines:
    """Yield the whole lines of each chunk together."""
    rest = b''
    async for chunk in response.chunks():
        *whole, rest = (rest + chunk).split(b'\n')
        if whole:
            yield tuple(_decode_line(line) for line in whole)


def _decode_line(line: bytes) -> StreamLine:
    try:
        return _line_decoder.decode(line)
    except msgspec.MsgspecError as error:
        raise FailureError(
            may_have_run(Reason.BAD_ANSWER, str(error)),
        ) from error
