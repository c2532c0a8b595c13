"""Reads an engine's load, allocations and cache events, and reserves memory.

The formats are those of docs/PLATFORM.md. Calls that stream tokens are in
``limpetdrift.protocol.engine``. ``EngineManagementCalls`` holds the calls as
functions, so that tests can replace an engine by an in-memory fake.
"""

from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from typing import TypeVar

from expression import Result

from limpetdrift.protocol.codec import decode, json_request
from limpetdrift.transport.client import HttpClient
from limpetdrift.transport.messages import Address, Request, Response
from limpetdrift.verdict import (
    Failure,
    Reason,
    may_have_run,
    not_run,
)

Reply = TypeVar('Reply')

_CALL_TIMEOUT_SECONDS = 2.0
_OK = 200
_GONE = 410
_TOO_MANY_REQUESTS = 429


@dataclass(frozen=True, kw_only=True, slots=True)
class EngineLoad:
    """The answer to ``GET /v1/load``, measured ``taken_seconds_ago``.

    ``memory_tokens`` is the engine's whole memory, ``held_tokens`` the part
    that can't be evicted, and ``cached_tokens`` the part that only caches
    prefixes. ``step_seconds`` is the time of one decode step. ``running`` and
    ``waiting`` count streams, and ``queued_prefill_tokens`` the prompt tokens
    still to be processed. ``incarnation`` changes with each start.
    """

    memory_tokens: int
    held_tokens: int
    prefill_tokens_per_second: float
    step_seconds: float
    model: str = ''
    cached_tokens: int = 0
    running: int = 0
    waiting: int = 0
    queued_prefill_tokens: int = 0
    leaving: bool = False
    incarnation: int = 0
    taken_seconds_ago: float = 0


@dataclass(frozen=True, kw_only=True, slots=True)
class Allocation:
    """Engine memory in use by a stream, a reservation or an export.

    ``kind`` is ``stream``, ``hold`` (a reservation) or ``export``.
    ``holder`` and ``incarnation`` identify the process that owns it.
    ``finished`` marks a stream that has ended and still occupies memory.
    """

    id: str
    kind: str
    request_key: str
    attempt: int
    holder: str
    incarnation: int
    tokens: int
    age_seconds: float
    expires_in_seconds: float | None = None
    finished: bool = False


@dataclass(frozen=True, kw_only=True, slots=True)
class CacheEvent:
    """A prefix block that the engine stored or removed.

    ``seq`` numbers all events of an engine in order; ``block`` is the chained
    hash of the block.
    """

    seq: int
    kind: str
    block: int


@dataclass(frozen=True, kw_only=True, slots=True)
class CacheEvents:
    """Cache events in order.

    ``first`` is the number of the oldest event that the engine still has; if
    it is above the requested number, events were lost. ``next`` is the number
    to request next.
    """

    first: int
    next: int
    events: tuple[CacheEvent, ...] = ()


@dataclass(frozen=True, kw_only=True, slots=True)
class ReservationRequest:
    """Reserves memory for one part of a group of engines.

    The reservation ends by itself after ``expires_in_seconds``, unless it is
    renewed.
    """

    hold_id: str
    tokens: int
    request_key: str
    attempt: int
    holder: str
    incarnation: int
    expires_in_seconds: float


@dataclass(frozen=True, kw_only=True, slots=True)
class ReservationRenewal:
    """Sets a reservation's remaining lifetime, counted from now."""

    expires_in_seconds: float


@dataclass(frozen=True, kw_only=True, slots=True)
class EmptyReply:
    """An engine's answer whose content is ignored; its success counts."""


@dataclass(frozen=True, kw_only=True)
class EngineManagementCalls:
    """The calls to engines that placement and reclaiming need.

    ``cache_events`` takes the number of the first event to return.
    ``delete_allocation`` deletes the stream, reservation or export that an
    allocation describes. ``renew`` takes a reservation's id and its new
    lifetime in seconds, ``release_reservation`` the id alone.
    """

    load: Callable[[Address], Awaitable[Result[EngineLoad, Failure]]]
    allocations: Callable[
        [Address],
        Awaitable[Result[tuple[Allocation, ...], Failure]],
    ]
    cache_events: Callable[
        [Address, int],
        Awaitable[Result[CacheEvents, Failure]],
    ]
    delete_allocation: Callable[
        [Address, Allocation], Awaitable[Result[EmptyReply, Failure]]
    ]
    reserve_memory: Callable[
        [Address, ReservationRequest], Awaitable[Result[EmptyReply, Failure]]
    ]
    renew: Callable[
        [Address, str, float], Awaitable[Result[EmptyReply, Failure]]
    ]
    release_reservation: Callable[
        [Address, str], Awaitable[Result[EmptyReply, Failure]]
    ]


def make_engine_management_calls(client: HttpClient) -> EngineManagementCalls:
    """Return the calls as requests over HTTP."""

    async def fetch(
        address: Address,
        request: Request,
        reply: type[Reply],
    ) -> Result[Reply, Failure]:
        answer = await client.fetch(
            address,
            request,
            timeout_seconds=_CALL_TIMEOUT_SECONDS,
        )
        return answer.bind(lambda response: _decode_response(response, reply))

    return EngineManagementCalls(
        load=lambda address: fetch(
            address,
            Request(method='GET', path='/v1/load'),
            EngineLoad,
        ),
        allocations=lambda address: fetch(
            address,
            Request(method='GET', path='/v1/allocations'),
            tuple[Allocation, ...],
        ),
        cache_events=lambda address, after: fetch(
            address,
            Request(
                method='GET',
                path='/v1/cache-events',
                query={'after': str(after)},
            ),
            CacheEvents,
        ),
        delete_allocation=lambda address, allocation: fetch(
            address,
            Request(method='DELETE', path=_path_of(allocation)),
            EmptyReply,
        ),
        reserve_memory=lambda address, reservation: fetch(
            address,
            json_request('POST', '/v1/holds', reservation),
            EmptyReply,
        ),
        renew=lambda address, hold_id, seconds: fetch(
            address,
            json_request(
                'POST',
                f'/v1/holds/{hold_id}/renew',
                ReservationRenewal(expires_in_seconds=seconds),
            ),
            EmptyReply,
        ),
        release_reservation=lambda address, hold_id: fetch(
            address,
            Request(method='DELETE', path=f'/v1/holds/{hold_id}'),
            EmptyReply,
        ),
    )


def _path_of(allocation: Allocation) -> str:
    return f'/v1/{allocation.kind}s/{allocation.id}'


def _decode_response(
    response: Response, reply: type[Reply]
) -> Result[Reply, Failure]:
    if response.status == _OK:
        return decode(response.body, reply).map_error(
            lambda failure: may_have_run(Reason.BAD_ANSWER, failure.detail),
        )
    if response.status == _TOO_MANY_REQUESTS:
        return Result.Error(not_run(Reason.NO_MEMORY))
    if response.status == _GONE:
        return Result.Error(not_run(Reason.STREAM_UNKNOWN, 'hold is gone'))
    return Result.Error(
        may_have_run(Reason.BAD_ANSWER, f'status {response.status}'),
    )
