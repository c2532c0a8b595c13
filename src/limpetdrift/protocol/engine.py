"""Starts, resumes and cancels streams on a model engine.

The engine's stream format (docs/PLATFORM.md) is handled only here. Failures
carry verdicts: a documented refusal proves that nothing ran.
"""

from collections.abc import AsyncGenerator, AsyncIterator
from contextlib import asynccontextmanager
from dataclasses import dataclass

from limpetdrift.protocol.codec import decode, decode_json, json_request
from limpetdrift.transport.client import HttpClient, ResponseStream
from limpetdrift.transport.messages import Address, Headers, Request
from limpetdrift.verdict import (
    Failure,
    FailureError,
    Reason,
    may_have_run,
    not_run,
)

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
class EngineReservation:
    """A reservation on another engine for a prompt larger than one engine.

    The engine that runs the stream uses the memory that is reserved as
    ``hold_id`` on the engine at ``address``.
    """

    address: str
    hold_id: str


@dataclass(frozen=True, kw_only=True, slots=True)
class StreamStart:
    """Asks an engine to run a stream.

    ``holder`` and ``incarnation`` identify the process that owns the stream;
    the engine lists them with its memory, which may be freed after
    ``expires_in_seconds``. The lowest ``priority`` runs first.
    ``start_offset`` and ``delivered`` give the number and text of the tokens
    that an earlier attempt delivered. ``group`` lists the reservations that
    the stream uses on other engines. ``journal_key`` identifies the caller's
    request by its client account and key.
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
    group: tuple[EngineReservation, ...] = ()
    journal_key: str = ''


@dataclass(frozen=True, kw_only=True, slots=True)
class StreamLine:
    """One line of a stream: a token, its end, or its failure.

    A token has its ``offset`` in the answer and its ``text``. ``finish``
    gives the reason of a regular end, ``error`` that of a failure. The counts
    of tokens come with the end.
    """

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
    """The body of an engine's refusal; ``code`` is one that it documents."""

    code: str = ''


# Yields the lines that arrive together as one tuple.
Lines = AsyncIterator[tuple[StreamLine, ...]]


class EngineCalls:
    """Calls to any engine over one HTTP client.

    ``idle_timeout_seconds`` is the idle timeout of streams. ``headers`` are
    sent with each request that resumes a stream.
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

        Raises ``FailureError``, whose verdict is ``NOT_RUN`` after a refused
        connection or a documented refusal.
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
        """Read a started stream from a token offset, on a new connection.

        Raises ``FailureError`` like ``start``.
        """
        request = Request(
            method='GET',
            path=f'{_STREAMS}/{stream_id}',
            query={'offset': str(offset)},
            headers=self._headers,
        )
        async with self._open(address, request) as lines:
            yield lines

    async def cancel(self, address: Address, stream_id: str) -> bool:
        """Cancel a stream and free its memory.

        Returns whether the engine answered.
        """
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
        stream = self._client.stream(
            address,
            request,
            idle_timeout_seconds=self._idle_timeout_seconds,
            new_connection=True,
        )
        async with stream as response:
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
    """Yield the lines that each chunk completes together."""
    partial_line = b''
    async for chunk in response.chunks():
        *lines, partial_line = (partial_line + chunk).split(b'\n')
        if lines:
            yield tuple(_decode_line(line) for line in lines)


def _decode_line(line: bytes) -> StreamLine:
    decoded = decode_json(line, StreamLine)
    if decoded.is_error():
        raise FailureError(may_have_run(Reason.BAD_ANSWER, decoded.error))
    return decoded.ok
