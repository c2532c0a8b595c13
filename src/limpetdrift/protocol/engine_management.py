"""An engine's reports: load, allocations, cache events and holds.

The formats are those of docs/PLATFORM.md. Calls that stream tokens are not
here. ``EngineReports`` gathers the calls as functions, so that a test puts a
model in memory in the place of an engine.
"""

from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from typing import TypeVar

from expression import Result

from limpetdrift.protocol.codec import decode, json_request
from limpetdrift.protocol.verdict import (
    Failure,
    Reason,
    may_have_run,
    not_run,
)
from limpetdrift.transport.client import HttpClient
from limpetdrift.transport.messages import Address, Request, Response

Reply = TypeVar('Reply')

_CALL_SECONDS = 2.0
_OK = 200
_GONE = 410
_TOO_MANY = 429


@dataclass(frozen=True, kw_only=True, slots=True)
class EngineLoad:
    """What ``GET /v1/load`` tells, as old as ``taken_seconds_ago``."""

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
    """One holder of engine memory: a stream, a hold or an export."""

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
    """A prefix block that the engine stored or removed."""

    seq: int
    kind: str
    block: int


@dataclass(frozen=True, kw_only=True, slots=True)
class CacheEvents:
    """Cache events in order; ``first`` above what was asked tells of loss."""

    first: int
    next: int
    events: tuple[CacheEvent, ...] = ()


@dataclass(frozen=True, kw_only=True, slots=True)
class HoldRequest:
    """Reserves memory for one part of a group."""

    hold_id: str
    tokens: int
    request_key: str
    attempt: int
    holder: str
    incarnation: int
    expires_in_seconds: float


@dataclass(frozen=True, kw_only=True, slots=True)
class HoldRenewal:
    """Moves a hold's expiry."""

    expires_in_seconds: float


@dataclass(frozen=True, kw_only=True, slots=True)
class EmptyReply:
    """An engine's answer whose content does not matter."""


@dataclass(frozen=True, kw_only=True)
class EngineManagementCalls:
    """The engine's calls that placement and reclaim need.

    ``free`` deletes the stream or hold that an allocation names.
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
        [Address, HoldRequest], Awaitable[Result[EmptyReply, Failure]]
    ]
    renew: Callable[
        [Address, str, float], Awaitable[Result[EmptyReply, Failure]]
    ]
    release_reservation: Callable[
        [Address, str], Awaitable[Result[EmptyReply, Failure]]
    ]


def make_engine_management_calls(client: HttpClient) -> EngineManagementCalls:
    """Return the calls that go over HTTP."""

    async def fetch(
        address: Address,
        request: Request,
        reply: type[Reply],
    ) -> Result[Reply, Failure]:
        answer = await client.fetch(
            address,
            request,
            timeout_seconds=_CALL_SECONDS,
        )
        return answer.bind(lambda response: _read(response, reply))

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
        reserve_memory=lambda address, hold: fetch(
            address,
            json_request('POST', '/v1/holds', hold),
            EmptyReply,
        ),
        renew=lambda address, hold_id, seconds: fetch(
            address,
            json_request(
                'POST',
                f'/v1/holds/{hold_id}/renew',
                HoldRenewal(expires_in_seconds=seconds),
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


def _read(response: Response, reply: type[Reply]) -> Result[Reply, Failure]:
    if response.status == _OK:
        return decode(response.body, reply).map_error(
            lambda failure: may_have_run(Reason.BAD_ANSWER, failure.detail),
        )
    if response.status == _TOO_MANY:
        return Result.Error(not_run(Reason.NO_MEMORY))
    if response.status == _GONE:
        return Result.Error(not_run(Reason.STREAM_UNKNOWN, 'hold is gone'))
    return Result.Error(
        may_have_run(Reason.BAD_ANSWER, f'status {response.status}'),
    )
