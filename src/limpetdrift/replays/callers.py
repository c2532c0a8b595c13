"""Callers of a replay: they read, lose patience and come back.

What a caller saw of its request is an ``Outcome``.
"""

import random
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from enum import StrEnum, unique

import trio

from limpetdrift.replays.arrivals import Arrival
from limpetdrift.replays.workload import Kind, Returns
from limpetdrift.transport.messages import OK, UNAVAILABLE, Headers, Response

_RETRY_AFTER = 'retry-after'
_AT_ONCE_SECONDS = 0.01


@unique
class Ending(StrEnum):
    """How a request ended for its caller."""

    SERVED = 'served'
    REFUSED = 'refused'
    FAILED = 'failed'
    LEFT = 'left'


@dataclass(frozen=True, kw_only=True, slots=True)
class RequestOutcome:
    """What a caller got; ``first`` and ``pause`` are in seconds.

    ``first`` counts from the first send, later returns included.
    """

    kind: str
    account: str
    tokens: int
    at: float
    ending: Ending
    first: float = 0.0
    pause: float = 0.0
    returns: int = 0

    def is_on_time(self, kind: Kind) -> bool:
        """Return whether it began and went on within the kind's bounds."""
        served = self.ending is Ending.SERVED
        in_time = self.first <= kind.target_seconds
        return served and in_time and self.pause <= kind.pause_seconds


@dataclass(kw_only=True)
class RecordingExchange:
    """The caller's end of one exchange."""

    last_event_at: float
    first_at: float | None = None
    pause: float = 0.0
    response: Response | None = None
    started: bool = False
    finished: bool = False
    disconnected: trio.Event = field(default_factory=trio.Event)

    async def respond(self, response: Response) -> None:
        """Take a whole answer."""
        await trio.lowlevel.checkpoint()
        self.started = True
        self.response = response

    async def start(self, status: int, headers: Headers = ()) -> None:
        """Take the head of a stream."""
        await trio.lowlevel.checkpoint()
        self.started = True

    async def send(self, payload: bytes) -> None:
        """Take an event."""
        await trio.lowlevel.checkpoint()
        now = trio.current_time()
        if self.first_at is None:
            self.first_at = now
        else:
            self.pause = max(self.pause, now - self.last_event_at)
        self.last_event_at = now

    async def finish(self) -> None:
        """Take the end of a stream."""
        await trio.lowlevel.checkpoint()
        self.finished = True

    async def abort(self) -> None:
        """See the stream cut off."""
        await trio.lowlevel.checkpoint()

    async def wait_closed(self) -> None:
        """Return when the caller has left."""
        await self.disconnected.wait()


Serve = Callable[[Arrival, float, RecordingExchange], Awaitable[None]]


async def call(
    arrival: Arrival,
    kind: Kind,
    returns: Returns,
    serve: Serve,
) -> RequestOutcome:
    """Send a request, and again as the load says when it is refused.

    ``serve`` gets the request, its deadline and where the answer goes.
    """
    begun = trio.current_time()
    deadline = begun + kind.deadline_seconds
    shapes = random.Random(f'return/{arrival.number}')
    at_once = shapes.random() < returns.at_once_share
    for tried in range(returns.times + 1):
        side = RecordingExchange(last_event_at=trio.current_time())
        await _send(arrival, kind, deadline, side, serve)
        outcome = _read(arrival, begun, side, tried)
        pause = _AT_ONCE_SECONDS if at_once else _retry_after(side)
        late = trio.current_time() + pause >= deadline
        if outcome.ending is not Ending.REFUSED or late:
            break
        if tried < returns.times:
            await trio.sleep(pause)
    return outcome


async def _send(
    arrival: Arrival,
    kind: Kind,
    deadline: float,
    side: RecordingExchange,
    serve: Serve,
) -> None:
    async with trio.open_nursery() as nursery:
        nursery.start_soon(_lose_patience, side, kind.patience_seconds)
        await serve(arrival, deadline, side)
        nursery.cancel_scope.cancel()


async def _lose_patience(side: RecordingExchange, patience: float) -> None:
    while not side.disconnected.is_set():
        due = side.last_event_at + patience
        if trio.current_time() >= due:
            side.disconnected.set()
        else:
            await trio.sleep_until(due)


def _read(
    arrival: Arrival,
    begun: float,
    side: RecordingExchange,
    returns: int,
) -> RequestOutcome:
    first = 0.0 if side.first_at is None else side.first_at - begun
    return RequestOutcome(
        kind=arrival.kind,
        account=arrival.account,
        tokens=arrival.tokens,
        at=arrival.at,
        ending=_ending(side),
        first=first,
        pause=side.pause,
        returns=returns,
    )


def _ending(side: RecordingExchange) -> Ending:
    if side.finished:
        return Ending.SERVED
    if side.disconnected.is_set():
        return Ending.LEFT
    status = side.response.status if side.response else 0
    if status == OK:
        return Ending.SERVED
    return Ending.REFUSED if status == UNAVAILABLE else Ending.FAILED


def _retry_after(side: RecordingExchange) -> float:
    headers = dict(side.response.headers) if side.response else {}
    return float(headers.get(_RETRY_AFTER, 0))
