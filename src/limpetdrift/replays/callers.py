"""Simulates callers: they read answers, disconnect when idle, and retry."""

import random
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from enum import StrEnum, unique

import trio

from limpetdrift.replays.arrivals import Arrival
from limpetdrift.replays.workload import Kind, RetryBehavior
from limpetdrift.transport.messages import OK, UNAVAILABLE, Headers, Response

# Time until a caller gives up a connection to an entry that has no power.
CONNECT_TIMEOUT_SECONDS = 1.0
_RETRY_AFTER = 'retry-after'
# Retry interval of callers that ignore ``retry-after``.
_IMMEDIATE_RETRY_SECONDS = 0.01


@unique
class Ending(StrEnum):
    """How a request ended, as its caller sees it."""

    SERVED = 'served'
    REFUSED = 'refused'
    FAILED = 'failed'
    DISCONNECTED = 'left'


@dataclass(frozen=True, kw_only=True, slots=True)
class RequestOutcome:
    """The result of a request for its caller. Times are in seconds.

    ``at`` is the arrival time, and ``events`` the number of events of the whole
    answer. ``first_event_seconds`` counts from the first
    send, also if the request was refused and sent again. The longest time
    between two events of the answer is ``max_pause_seconds``. ``retries`` is
    the number of retries.
    """

    kind: str
    account: str
    tokens: int
    at: float
    events: int
    ending: Ending
    first_event_seconds: float = 0.0
    max_pause_seconds: float = 0.0
    retries: int = 0

    def is_on_time(self, kind: Kind) -> bool:
        """Return whether the answer met the time limits of its kind."""
        served = self.ending is Ending.SERVED
        began_in_time = self.first_event_seconds <= kind.target_seconds
        return (
            served
            and began_in_time
            and self.max_pause_seconds <= kind.pause_seconds
        )


@dataclass(kw_only=True)
class RecordingExchange:
    """A simulated caller's connection, on which one request is answered.

    It keeps a whole response, and of a stream the times of the first and the
    last event, by the trio clock, the longest pause between two events, and the
    number of events.
    """

    last_event_at: float
    first_event_at: float | None = None
    max_pause_seconds: float = 0.0
    events: int = 0
    response: Response | None = None
    started: bool = False
    finished: bool = False
    disconnected: trio.Event = field(default_factory=trio.Event)

    @property
    def is_whole(self) -> bool:
        """Whether the response has its end."""
        return self.response is not None or self.finished

    async def respond(self, response: Response) -> None:
        """Store a response that is not a stream."""
        await trio.lowlevel.checkpoint()
        self.started = True
        self.response = response

    async def start(self, status: int, headers: Headers = ()) -> None:
        """Record that a stream has begun; its head is not kept."""
        await trio.lowlevel.checkpoint()
        self.started = True

    async def send(self, payload: bytes) -> None:
        """Record the time of an event, and the longest pause between events.

        The payload is not kept.
        """
        await trio.lowlevel.checkpoint()
        now = trio.current_time()
        self.events += 1
        if self.first_event_at is None:
            self.first_event_at = now
        else:
            self.max_pause_seconds = max(
                self.max_pause_seconds, now - self.last_event_at
            )
        self.last_event_at = now

    async def finish(self) -> None:
        """Record that a stream was sent to its end."""
        await trio.lowlevel.checkpoint()
        self.finished = True

    async def abort(self) -> None:
        """Accept the abort of a stream; ``finished`` stays false."""
        await trio.lowlevel.checkpoint()

    async def wait_closed(self) -> None:
        """Wait until the caller has disconnected."""
        await self.disconnected.wait()


Serve = Callable[[Arrival, float, RecordingExchange], Awaitable[None]]


async def call(
    arrival: Arrival,
    kind: Kind,
    retry_behavior: RetryBehavior,
    serve: Serve,
) -> RequestOutcome:
    """Send a request, and retry it by ``retry_behavior`` while it is refused.

    ``serve`` gets the request, its deadline by the trio clock and the
    caller's exchange.
    """
    sent_at = trio.current_time()
    deadline = sent_at + kind.deadline_seconds
    randomness = random.Random(f'return/{arrival.number}')
    is_immediate = randomness.random() < retry_behavior.at_once_share
    for retries in range(retry_behavior.times + 1):
        exchange = RecordingExchange(last_event_at=trio.current_time())
        await _send(arrival, kind, deadline, exchange, serve)
        outcome = _make_outcome(arrival, sent_at, exchange, retries)
        wait_seconds = (
            _IMMEDIATE_RETRY_SECONDS if is_immediate else _retry_after(exchange)
        )
        is_too_late = trio.current_time() + wait_seconds >= deadline
        if outcome.ending is not Ending.REFUSED or is_too_late:
            break
        if retries < retry_behavior.times:
            await trio.sleep(wait_seconds)
    return outcome


async def _send(
    arrival: Arrival,
    kind: Kind,
    deadline: float,
    exchange: RecordingExchange,
    serve: Serve,
) -> None:
    async with trio.open_nursery() as nursery:
        nursery.start_soon(
            _disconnect_when_idle, exchange, kind.patience_seconds
        )
        await serve(arrival, deadline, exchange)
        nursery.cancel_scope.cancel()


async def _disconnect_when_idle(
    exchange: RecordingExchange, idle_timeout: float
) -> None:
    while not exchange.disconnected.is_set():
        due = exchange.last_event_at + idle_timeout
        if trio.current_time() >= due:
            exchange.disconnected.set()
        else:
            await trio.sleep_until(due)


def _make_outcome(
    arrival: Arrival,
    sent_at: float,
    exchange: RecordingExchange,
    retries: int,
) -> RequestOutcome:
    first_event_seconds = (
        0.0
        if exchange.first_event_at is None
        else exchange.first_event_at - sent_at
    )
    return RequestOutcome(
        kind=arrival.kind,
        account=arrival.account,
        tokens=arrival.tokens,
        at=arrival.at,
        events=arrival.events,
        ending=_ending(exchange),
        first_event_seconds=first_event_seconds,
        max_pause_seconds=exchange.max_pause_seconds,
        retries=retries,
    )


def _ending(exchange: RecordingExchange) -> Ending:
    if exchange.finished:
        return Ending.SERVED
    if exchange.disconnected.is_set():
        return Ending.DISCONNECTED
    status = exchange.response.status if exchange.response else 0
    if status == OK:
        return Ending.SERVED
    return Ending.REFUSED if status == UNAVAILABLE else Ending.FAILED


def _retry_after(exchange: RecordingExchange) -> float:
    headers = dict(exchange.response.headers) if exchange.response else {}
    return float(headers.get(_RETRY_AFTER, 0))
