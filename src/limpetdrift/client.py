"""A client of the public API: discovery, retry by verdict, resumption.

>>> client = Client(seeds=(parse_address('127.0.0.1:8100'),), key='...')
>>> answer = await client.complete(call)  # doctest: +SKIP

A call returns the whole answer or a failure whose verdict says whether the
request may have run. Requests that are not repeatable need an idempotency
key; they are sent again only under that key, which the system runs at most
once.
"""

import random
from collections.abc import AsyncIterator
from dataclasses import dataclass, field, replace

import msgspec
import trio
from expression import Error, Ok, Result

from limpetdrift.protocol.codec import decode, encode
from limpetdrift.protocol.openai import (
    DEADLINE_HEADER,
    KEY_HEADER,
    REPEATABLE_HEADER,
    STREAM_HEADER,
    URGENCY_HEADER,
    ChatMessage,
    ChatRequest,
    ErrorAnswer,
    ErrorBody,
    Resumption,
    StreamOptions,
)
from limpetdrift.protocol.verdict import (
    Failure,
    FailureError,
    Reason,
    Verdict,
    may_have_run,
    not_run,
)
from limpetdrift.transport.client import HttpClient, ResponseStream
from limpetdrift.transport.messages import (
    OK,
    Address,
    Headers,
    Request,
    parse_address,
)

SILENCE_SECONDS = 5.0
DISCOVERY_TIMEOUT_SECONDS = 2.0
RETRY_PAUSE_SECONDS = 0.05
LONGEST_PAUSE_SECONDS = 2.0
SHORTEST_DEADLINE_SECONDS = 0.001
_KEY_BITS = 128
_DATA = b'data: '
_DONE = b'[DONE]'
_FINAL_REASONS = frozenset(
    (
        Reason.BAD_REQUEST,
        Reason.UNAUTHORIZED,
        Reason.FORBIDDEN,
        Reason.UNKNOWN_MODEL,
        Reason.BODY_TOO_LARGE,
        Reason.QUARANTINED,
        Reason.DEADLINE,
        Reason.CONFLICT,
    ),
)


@dataclass(frozen=True, kw_only=True, slots=True)
class Call:
    """One chat completion to ask for.

    ``most_sends`` bounds how often it is sent, resumptions aside; without it
    the call is sent again until its deadline.
    """

    model: str
    messages: tuple[ChatMessage, ...]
    max_tokens: int = 256
    deadline_seconds: float = 60.0
    urgency: str = ''
    idempotency_key: str = ''
    repeatable: bool = True
    most_sends: int | None = None


@dataclass(frozen=True, kw_only=True, slots=True)
class Answer:
    """A whole answer, and what it took to get it."""

    text: str
    finish: str
    completion_tokens: int
    cached_tokens: int
    first_token_seconds: float
    seconds: float
    sends: int
    resumptions: int


@dataclass(frozen=True, kw_only=True, slots=True)
class _Delta:
    content: str = ''


@dataclass(frozen=True, kw_only=True, slots=True)
class _Choice:
    delta: _Delta = field(default_factory=_Delta)
    finish_reason: str | None = None


@dataclass(frozen=True, kw_only=True, slots=True)
class _Position:
    offset: int = 0


@dataclass(frozen=True, kw_only=True, slots=True)
class _Usage:
    prompt_tokens_details: dict[str, int] = field(default_factory=dict)


@dataclass(frozen=True, kw_only=True, slots=True)
class _Chunk:
    choices: tuple[_Choice, ...] = ()
    limpet: _Position = field(default_factory=_Position)
    usage: _Usage | None = None
    error: ErrorBody | None = None


@dataclass(frozen=True, kw_only=True, slots=True)
class _Listed:
    """One entry of a discovery answer."""

    address: str


@dataclass(frozen=True, kw_only=True, slots=True)
class _Discovery:
    entries: tuple[_Listed, ...]
    max_age_seconds: float


@dataclass(kw_only=True, slots=True)
class _Progress:
    """What has arrived of one call."""

    call: Call
    started_at: float
    handle: str = ''
    texts: list[str] = field(default_factory=list)
    offset: int = 0
    finish: str = ''
    cached_tokens: int = 0
    first_token_at: float | None = None
    sends: int = 0
    resumptions: int = 0
    verdict: Verdict = Verdict.NOT_RUN

    @property
    def deadline(self) -> float:
        """The time, by trio's clock, at which the call is given up."""
        return self.started_at + self.call.deadline_seconds


class Client:
    """Calls one deployment of the system with one client account's key."""

    def __init__(
        self,
        *,
        seeds: tuple[Address, ...],
        key: str,
        random_source: random.Random | None = None,
        http: HttpClient | None = None,
    ) -> None:
        self._seeds = seeds
        self._key = key
        self._random = random_source or random.Random()
        self._http = http or HttpClient()
        self._entries: tuple[Address, ...] = ()
        self._fresh_until = float('-inf')
        self._avoided: dict[Address, float] = {}

    async def complete(self, call: Call) -> Result[Answer, Failure]:
        """Get a whole answer, over as many connections as it takes."""
        if not call.idempotency_key:
            unique = format(self._random.getrandbits(_KEY_BITS), 'x')
            call = replace(call, idempotency_key=unique)
        progress = _Progress(call=call, started_at=trio.current_time())
        with trio.move_on_at(progress.deadline):
            return await self._send_until_ended(progress)
        return Error(Failure(verdict=progress.verdict, reason=Reason.DEADLINE))

    async def entries(self) -> tuple[Address, ...]:
        """Return the entries to use, asking again when the answer is old."""
        if trio.current_time() < self._fresh_until:
            return self._entries
        known = tuple(dict.fromkeys((*self._entries, *self._seeds)))
        for address in self._shuffled(known):
            if await self._discover(address):
                return self._entries
        return known

    async def _discover(self, seed: Address) -> bool:
        answer = await self._http.fetch(
            seed,
            Request(method='GET', path='/v1/entries'),
            timeout_seconds=DISCOVERY_TIMEOUT_SECONDS,
        )
        if answer.is_error() or answer.ok.status != OK:
            return False
        listed = decode(answer.ok.body, _Discovery)
        if listed.is_error() or not listed.ok.entries:
            return False
        found = tuple(parse_address(each.address) for each in listed.ok.entries)
        self._entries = found
        self._fresh_until = trio.current_time() + listed.ok.max_age_seconds
        return True

    async def _send_until_ended(
        self,
        progress: _Progress,
    ) -> Result[Answer, Failure]:
        pause = RETRY_PAUSE_SECONDS
        while True:
            address = await self._choose()
            failure = await self._send(address, progress)
            if failure is None:
                return Ok(_make_answer(progress))
            if _is_final(failure, progress):
                return Error(failure)
            self._avoided[address] = trio.current_time()
            self._add_alternatives(failure)
            wanted = failure.retry_after_seconds or pause
            await trio.sleep(wanted * self._random.uniform(0.5, 1))
            pause = min(pause * 2, LONGEST_PAUSE_SECONDS)

    async def _send(
        self,
        address: Address,
        progress: _Progress,
    ) -> Failure | None:
        """Send the request, follow its stream, and resume it when cut."""
        progress.sends += 1
        failure = await self._open(address, self._post(progress), progress)
        while failure is not None and _may_resume(failure, progress):
            progress.resumptions += 1
            await trio.sleep(RETRY_PAUSE_SECONDS)
            address = await self._choose()
            again = await self._open(address, self._get(progress), progress)
            if again is not None and again.reason is failure.reason:
                return again
            failure = again
        return failure

    async def _open(
        self,
        address: Address,
        request: Request,
        progress: _Progress,
    ) -> Failure | None:
        opened = self._http.stream(
            address,
            request,
            idle_timeout_seconds=SILENCE_SECONDS,
            new_connection=True,
        )
        try:
            async with opened as response:
                return await _follow(response, progress)
        except FailureError as error:
            if progress.finish:
                return None
            if error.failure.verdict is not Verdict.NOT_RUN:
                progress.verdict = Verdict.MAY_HAVE_RUN
            return error.failure

    async def _choose(self) -> Address:
        entries = await self.entries()
        return min(
            self._shuffled(entries),
            key=lambda each: self._avoided.get(each, float('-inf')),
        )

    def _shuffled(self, addresses: tuple[Address, ...]) -> list[Address]:
        return self._random.sample(addresses, len(addresses))

    def _add_alternatives(self, failure: Failure) -> None:
        for text in failure.alternatives:
            address = parse_address(text)
            if address not in self._entries:
                self._entries = (*self._entries, address)

    def _post(self, progress: _Progress) -> Request:
        call = progress.call
        resumption = Resumption(
            start_offset=progress.offset,
            delivered=''.join(progress.texts),
        )
        chat = ChatRequest(
            model=call.model,
            messages=call.messages,
            max_tokens=call.max_tokens,
            stream=True,
            stream_options=StreamOptions(include_usage=True),
            limpet=resumption,
        )
        return Request(
            method='POST',
            path='/v1/chat/completions',
            headers=(*self._access(), *_option_headers(progress)),
            body=encode(chat),
        )

    def _get(self, progress: _Progress) -> Request:
        return Request(
            method='GET',
            path=f'/v1/streams/{progress.handle}',
            query={'offset': str(progress.offset)},
            headers=self._access(),
        )

    def _access(self) -> Headers:
        return (('authorization', f'Bearer {self._key}'),)


def _option_headers(progress: _Progress) -> Headers:
    call = progress.call
    remaining = max(
        progress.deadline - trio.current_time(),
        SHORTEST_DEADLINE_SECONDS,
    )
    headers = (
        ('content-type', 'application/json'),
        (KEY_HEADER, call.idempotency_key),
        (REPEATABLE_HEADER, str(call.repeatable).lower()),
        (DEADLINE_HEADER, f'{remaining:.3f}'),
    )
    if call.urgency:
        return (*headers, (URGENCY_HEADER, call.urgency))
    return headers


def _is_final(failure: Failure, progress: _Progress) -> bool:
    if failure.reason in _FINAL_REASONS:
        return True
    return progress.sends == progress.call.most_sends


def _may_resume(failure: Failure, progress: _Progress) -> bool:
    if not progress.handle:
        return False
    return failure.reason in {Reason.CONNECTION_BROKEN, Reason.IDLE_TIMEOUT}


async def _follow(
    response: ResponseStream,
    progress: _Progress,
) -> Failure | None:
    if response.status != OK:
        return _read_failure(await response.read(), response.status)
    progress.verdict = Verdict.MAY_HAVE_RUN
    progress.handle = dict(response.headers).get(STREAM_HEADER, '')
    async for chunk in _read_chunks(response):
        if chunk.error is not None:
            return _failure_of(chunk.error)
        _take_chunk(chunk, progress)
    if progress.finish:
        return None
    return may_have_run(Reason.CONNECTION_BROKEN, 'no end of the stream')


async def _read_chunks(response: ResponseStream) -> AsyncIterator[_Chunk]:
    async for line in response.lines():
        if not line.startswith(_DATA):
            continue
        payload = line.removeprefix(_DATA)
        if payload == _DONE:
            return
        yield msgspec.json.decode(payload, type=_Chunk)


def _take_chunk(chunk: _Chunk, progress: _Progress) -> None:
    if chunk.usage is not None:
        details = chunk.usage.prompt_tokens_details
        progress.cached_tokens = details.get('cached_tokens', 0)
    for choice in chunk.choices:
        if choice.delta.content:
            if progress.first_token_at is None:
                progress.first_token_at = trio.current_time()
            progress.texts.append(choice.delta.content)
            progress.offset = chunk.limpet.offset
        if choice.finish_reason:
            progress.finish = choice.finish_reason


def _read_failure(body: bytes, status: int) -> Failure:
    answer = decode(body, ErrorAnswer)
    if answer.is_error():
        return may_have_run(Reason.BAD_ANSWER, f'status {status}')
    return _failure_of(answer.ok.error)


def _failure_of(error: ErrorBody) -> Failure:
    try:
        reason, verdict = Reason(error.code), Verdict(error.verdict)
    except ValueError:
        return may_have_run(Reason.BAD_ANSWER, error.message)
    return replace(
        not_run(reason, error.message),
        verdict=verdict,
        retry_after_seconds=error.retry_after_seconds,
        alternatives=error.alternatives,
    )


def _make_answer(progress: _Progress) -> Answer:
    now = trio.current_time()
    first = progress.first_token_at or now
    return Answer(
        text=''.join(progress.texts),
        finish=progress.finish,
        completion_tokens=progress.offset,
        cached_tokens=progress.cached_tokens,
        first_token_seconds=first - progress.started_at,
        seconds=now - progress.started_at,
        sends=progress.sends,
        resumptions=progress.resumptions,
    )
