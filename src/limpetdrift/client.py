"""A client of the public API: discovery, retry by verdict, resumption.

>>> client = Client(seeds=(parse_address('127.0.0.1:8100'),), key='...')
>>> answer = await client.complete(call)  # doctest: +SKIP

A call returns the whole answer or a failure whose verdict says whether the
request may have run. A request that is not repeatable is run at most once
for its idempotency key. The client sends each request with a key, also when
it is sent again, and generates the key if the call has none.
"""

import random
from collections.abc import AsyncIterator, Iterable
from dataclasses import dataclass, field, replace

import msgspec
import trio
from expression import Error, Ok, Result

from limpetdrift.logs import warn
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
from limpetdrift.transport.client import HttpClient, ResponseStream
from limpetdrift.transport.messages import (
    OK,
    Address,
    Headers,
    Request,
    parse_address,
)
from limpetdrift.verdict import (
    Failure,
    FailureError,
    Reason,
    Verdict,
    may_have_run,
    not_run,
)

IDLE_TIMEOUT_SECONDS = 5.0
DISCOVERY_TIMEOUT_SECONDS = 2.0
INITIAL_RETRY_INTERVAL_SECONDS = 0.05
MAX_RETRY_INTERVAL_SECONDS = 2.0
# The deadline header must be above zero; it is sent with three decimals.
MIN_DEADLINE_SECONDS = 0.001
_KEY_BITS = 128
_DATA = b'data: '
_DONE = b'[DONE]'
# The request is not sent again after a failure for one of these reasons.
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
    """A request for one chat completion.

    ``deadline_seconds`` bounds the whole call, retries included.
    ``most_sends`` is the maximum number of times that the request is sent,
    not counting resumptions; ``None`` leaves only the deadline as a limit.
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
    """A whole answer, with its times since the start of the call.

    ``sends`` counts how often the request was sent, and ``resumptions`` how
    often its stream was resumed after it broke or timed out.
    """

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
class _DiscoveredEntry:
    """One entry of a discovery answer."""

    address: str


@dataclass(frozen=True, kw_only=True, slots=True)
class _Discovery:
    entries: tuple[_DiscoveredEntry, ...]
    max_age_seconds: float


@dataclass(kw_only=True, slots=True)
class _Progress:
    """The state of one call.

    ``verdict`` is that of the failure if the deadline passes.
    """

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
        """The time on trio's clock at which the call fails."""
        return self.started_at + self.call.deadline_seconds


class Client:
    """Sends requests to one deployment with the key of a client account.

    ``seeds`` are the entries to ask for the list of entries at first.
    """

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
        self._randomness = random_source or random.Random()
        self._http = http or HttpClient()
        self._entries: tuple[Address, ...] = ()
        self._entries_expire_at = float('-inf')
        self._last_failure_at: dict[Address, float] = {}

    async def complete(self, call: Call) -> Result[Answer, Failure]:
        """Get a whole answer, retrying and resuming until the deadline."""
        if not call.idempotency_key:
            unique = format(self._randomness.getrandbits(_KEY_BITS), 'x')
            call = replace(call, idempotency_key=unique)
        progress = _Progress(call=call, started_at=trio.current_time())
        with trio.move_on_at(progress.deadline):
            return await self._send_until_ended(progress)
        return Error(Failure(verdict=progress.verdict, reason=Reason.DEADLINE))

    async def entries(self) -> tuple[Address, ...]:
        """Return the known entries, after discovery if the list has expired.

        If no entry answers, the last list and the seeds are returned.
        """
        if trio.current_time() < self._entries_expire_at:
            return self._entries
        candidates = tuple(dict.fromkeys((*self._entries, *self._seeds)))
        for address in self._shuffled(candidates):
            if await self._discover(address):
                return self._entries
        return candidates

    async def _discover(self, seed: Address) -> bool:
        answer = await self._http.fetch(
            seed,
            Request(method='GET', path='/v1/entries'),
            timeout_seconds=DISCOVERY_TIMEOUT_SECONDS,
        )
        if answer.is_error() or answer.ok.status != OK:
            return False
        discovery = decode(answer.ok.body, _Discovery)
        if discovery.is_error() or not discovery.ok.entries:
            return False
        found = _parse_usable(each.address for each in discovery.ok.entries)
        if not found:
            return False
        self._entries = found
        self._entries_expire_at = (
            trio.current_time() + discovery.ok.max_age_seconds
        )
        return True

    async def _send_until_ended(
        self,
        progress: _Progress,
    ) -> Result[Answer, Failure]:
        interval = INITIAL_RETRY_INTERVAL_SECONDS
        while True:
            address = await self._choose_entry()
            failure = await self._send(address, progress)
            if failure is None:
                return Ok(_make_answer(progress))
            if _is_final(failure, progress):
                return Error(failure)
            self._last_failure_at[address] = trio.current_time()
            self._add_alternatives(failure)
            delay = failure.retry_after_seconds or interval
            await trio.sleep(delay * self._randomness.uniform(0.5, 1))
            interval = min(interval * 2, MAX_RETRY_INTERVAL_SECONDS)

    async def _send(
        self,
        address: Address,
        progress: _Progress,
    ) -> Failure | None:
        """Send the request and read its stream, resuming it when it breaks."""
        progress.sends += 1
        failure = await self._stream(
            address, self._make_post(progress), progress
        )
        while failure is not None and _may_resume(failure, progress):
            progress.resumptions += 1
            await trio.sleep(INITIAL_RETRY_INTERVAL_SECONDS)
            address = await self._choose_entry()
            next_failure = await self._stream(
                address, self._make_resume_get(progress), progress
            )
            if (
                next_failure is not None
                and next_failure.reason is failure.reason
            ):
                return next_failure
            failure = next_failure
        return failure

    async def _stream(
        self,
        address: Address,
        request: Request,
        progress: _Progress,
    ) -> Failure | None:
        opened = self._http.stream(
            address,
            request,
            idle_timeout_seconds=IDLE_TIMEOUT_SECONDS,
            new_connection=True,
        )
        try:
            async with opened as response:
                return await _read_stream(response, progress)
        except FailureError as error:
            if progress.finish:
                return None
            if error.failure.verdict is not Verdict.NOT_RUN:
                progress.verdict = Verdict.MAY_HAVE_RUN
            return error.failure

    async def _choose_entry(self) -> Address:
        entries = await self.entries()
        return min(
            self._shuffled(entries),
            key=lambda each: self._last_failure_at.get(each, float('-inf')),
        )

    def _shuffled(self, addresses: tuple[Address, ...]) -> list[Address]:
        return self._randomness.sample(addresses, len(addresses))

    def _add_alternatives(self, failure: Failure) -> None:
        for address in _parse_usable(failure.alternatives):
            if address not in self._entries:
                self._entries = (*self._entries, address)

    def _make_post(self, progress: _Progress) -> Request:
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
            headers=(*self._authorization(), *_option_headers(progress)),
            body=encode(chat),
        )

    def _make_resume_get(self, progress: _Progress) -> Request:
        return Request(
            method='GET',
            path=f'/v1/streams/{progress.handle}',
            query={'offset': str(progress.offset)},
            headers=self._authorization(),
        )

    def _authorization(self) -> Headers:
        return (('authorization', f'Bearer {self._key}'),)


def _option_headers(progress: _Progress) -> Headers:
    call = progress.call
    remaining = max(
        progress.deadline - trio.current_time(),
        MIN_DEADLINE_SECONDS,
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


def _parse_usable(texts: Iterable[str]) -> tuple[Address, ...]:
    """Return the addresses of entries that can be connected to."""
    addresses = []
    for text in texts:
        try:
            addresses.append(parse_address(text))
        except ValueError as error:
            warn('address of an entry is not usable', detail=str(error))
    return tuple(addresses)


async def _read_stream(
    response: ResponseStream,
    progress: _Progress,
) -> Failure | None:
    if response.status != OK:
        return _decode_failure(await response.read(), response.status)
    progress.verdict = Verdict.MAY_HAVE_RUN
    progress.handle = dict(response.headers).get(STREAM_HEADER, '')
    async for chunk in _read_chunks(response):
        if chunk.error is not None:
            return _parse_failure(chunk.error)
        _apply_chunk(chunk, progress)
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


def _apply_chunk(chunk: _Chunk, progress: _Progress) -> None:
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


def _decode_failure(body: bytes, status: int) -> Failure:
    answer = decode(body, ErrorAnswer)
    if answer.is_error():
        return may_have_run(Reason.BAD_ANSWER, f'status {status}')
    return _parse_failure(answer.ok.error)


def _parse_failure(error: ErrorBody) -> Failure:
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
