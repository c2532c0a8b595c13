"""Runs a forwarder with scripted endpoints and callers, in virtual time."""

import random
from collections.abc import AsyncIterator, Callable, Iterator
from contextlib import asynccontextmanager, contextmanager
from dataclasses import dataclass, field

import trio
from expression import Error, Ok, Result

from limpetdrift.coordination.crashes.crash_guard import BrokenAttempt
from limpetdrift.coordination.endpoints.endpoint_gate import Announcements
from limpetdrift.coordination.endpoints.endpoint_permits import EndpointPermits
from limpetdrift.coordination.forwarding.endpoint_response import (
    EndpointResponse,
)
from limpetdrift.coordination.forwarding.forwarding import (
    Forwarder,
)
from limpetdrift.coordination.forwarding.forwarding_inputs import (
    ForwardingInputs,
)
from limpetdrift.coordination.membership.link_monitor import LinkMonitor
from limpetdrift.coordination.planning.permit_client import (
    PermitClient,
    PermitClientInputs,
)
from limpetdrift.coordination.planning.plain_placer import PlainPlacer
from limpetdrift.protocol.route_table import RequestKind, Route, ServiceShare
from limpetdrift.protocol.work import (
    CallerRequest,
    DispatchPlan,
    ListedEndpoint,
)
from limpetdrift.state.endpoint_view import EndpointView
from limpetdrift.state.rate_budget import LEADING_SHARE
from limpetdrift.state.retry_budget import RetryBudget
from limpetdrift.transport.connection_account import ConnectionAccount
from limpetdrift.transport.holding import AnswerMemory, Holding
from limpetdrift.transport.messages import Response
from limpetdrift.verdict import (
    Failure,
    FailureError,
    Reason,
    may_have_run,
    not_run,
)


def make_route(**changes: object) -> Route:
    """Return a streaming route that may be resumed."""
    values: dict[str, object] = {
        'name': 'r',
        'host': 'h',
        'prefix': '/',
        'kind': RequestKind.STREAMING,
        'timeout_seconds': 10.0,
        'target_seconds': 0.3,
        'shares': (ServiceShare(service='s'),),
        'attempt_limit': 2,
        'resumable': True,
        'pause_seconds': 0.25,
    }
    return Route(**(values | changes))


def _ignore(endpoint: ListedEndpoint) -> None:
    """Tell nobody of an endpoint."""


def make_announcements(leaving=_ignore, full=_ignore) -> Announcements:
    """Return announcements of leaving endpoints and full engines only."""
    return Announcements(
        leaving=leaving,
        limit=_ignore,
        full=full,
        call_spent=_ignore,
    )


def make_links(view: EndpointView) -> LinkMonitor:
    """Return a monitor that checks nothing."""

    async def probe(endpoint: ListedEndpoint) -> bool:
        return True

    return LinkMonitor(view=view, probe=probe, randomness=random.Random(1))


def make_plain_placer(view: EndpointView, seed: int = 1) -> PlainPlacer:
    """Return a placer whose entry decides on all rate limits."""
    permits = EndpointPermits(
        view=view,
        clock=trio.current_time,
        share_of=lambda endpoint: LEADING_SHARE,
        randomness=random.Random(seed),
    )
    return PlainPlacer(
        view=view,
        permit_client=PermitClient(
            inputs=PermitClientInputs(
                view=view,
                permits=permits,
                find_decider=lambda endpoint: None,
                record_unreachable=lambda node, failure: None,
                call=None,
                clock=trio.current_time,
            )
        ),
        randomness=random.Random(seed),
    )


def make_endpoints(count: int) -> tuple[ListedEndpoint, ...]:
    """Return endpoints of the service ``s``."""
    return tuple(
        ListedEndpoint(
            name=f'i-{number}',
            lifetime=1,
            service='s',
            address=f'10.0.0.{number}:80',
            failure_domain='d',
            slots=8,
        )
        for number in range(count)
    )


def make_answer_memory() -> AnswerMemory:
    """Return memory that is never full."""
    account = ConnectionAccount()
    return AnswerMemory(holding=Holding(account=account, drop=lambda: None))


@dataclass
class FakeExchange:
    """The response that a caller received, and whether it disconnected.

    ``is_partially_written`` is set during each write and stays set when the
    write is cancelled, unless it is that of the response's end, which the
    server completes. Each write takes ``write_seconds``. ``heads`` counts the
    responses that were begun.
    """

    response: Response | None = None
    status: int | None = None
    payload: bytes = b''
    finished: bool = False
    started: bool = False
    heads: int = 0
    is_partially_written: bool = False
    aborted: bool = False
    write_seconds: float = 0.0
    disconnected: trio.Event = field(default_factory=trio.Event)

    @property
    def is_whole(self) -> bool:
        return self.response is not None or self.finished

    def make_answer_memory(self) -> AnswerMemory:
        return make_answer_memory()

    async def respond(self, response: Response) -> None:
        await self._begin()
        with self._ending():
            self.response = response
            await self._write()

    async def start(self, status: int, headers: object = ()) -> None:
        await self._begin()
        await self._write()
        self.status = status

    async def send(self, payload: bytes) -> None:
        assert not self.is_whole, 'write after the end of the response'
        await self._write()
        self.payload += payload

    async def finish(self) -> None:
        assert not self.is_whole, 'second end of the response'
        with self._ending():
            self.finished = True
            await self._write()

    async def abort(self) -> None:
        self.aborted = True

    async def wait_closed(self) -> None:
        await self.disconnected.wait()

    async def _begin(self) -> None:
        """Begin a response, unless the handler is cancelled before."""
        assert not self.is_whole, 'second response'
        await trio.lowlevel.checkpoint_if_cancelled()
        self.heads += 1

    async def _write(self) -> None:
        """Write as a connection does: change the state, then send the bytes."""
        assert not self.is_partially_written, 'write after a cancelled write'
        self.started = True
        self.is_partially_written = True
        await trio.sleep(self.write_seconds)
        self.is_partially_written = False

    @contextmanager
    def _ending(self) -> Iterator[None]:
        """Write the end of the response, also if the handler is cancelled."""
        assert not self.is_partially_written, 'write after a cancelled write'
        try:
            yield
        finally:
            self.is_partially_written = False


@dataclass
class SentRequest:
    """One request that was sent to an endpoint."""

    endpoint: str
    at: float
    seconds_left: float
    last_event: int | None


Script = Callable[[int], AsyncIterator[bytes]]


class ForwardHarness:
    """A forwarder and endpoints that answer by scripts, one for each attempt.

    A script is an async generator function that takes the number of the last
    event that the caller has; or a failure; or an ``EndpointResponse``.
    ``released`` holds the endpoint of each released placement, and the names
    of the endpoints that were reported as failed with it.
    """

    def __init__(
        self,
        *scripts: object,
        reserve: float = 20.0,
        endpoint_count: int = 3,
    ) -> None:
        self.scripts = list(scripts)
        self.sent: list[SentRequest] = []
        self.ended: list[float] = []
        self.released: list[tuple[str, tuple[str, ...]]] = []
        self.refusal: Failure | None = None
        self.broken: list[BrokenAttempt] = []
        self.delay_seconds = 0.0
        self.endpoints = make_endpoints(endpoint_count)
        self.view = EndpointView(clock=trio.current_time)
        self.view.replace(self.endpoints)
        self.forwarder = Forwarder(
            inputs=ForwardingInputs(
                place=self._place,
                release=self._release,
                reserve_memory=_reserve_memory,
                send=self._send,
                check=lambda work: self.refusal,
                render=_render,
                report_broken_connection=self.broken.append,
                report_harmless=lambda work: None,
                view=self.view,
                budget=RetryBudget(share=0.0, reserve=reserve),
                clock=trio.current_time,
                randomness=random.Random(1),
            ),
        )

    async def serve(
        self,
        route: Route,
        exchange: FakeExchange,
        **changes: object,
    ) -> None:
        """Serve one request of a route."""
        now = trio.current_time()
        values: dict[str, object] = {
            'request_id': 'a1',
            'method': 'POST',
            'target': '/x',
            'headers': (),
            'body': b'',
            'route': route,
            'service': 's',
            'version': 1,
            'arrived_at': now,
            'deadline': now + route.timeout_seconds,
            'account': 'acme',
        }
        await self.forwarder.serve(
            CallerRequest(**(values | changes)), exchange
        )

    async def _place(
        self,
        work: CallerRequest,
        excluded: frozenset[tuple[str, int]],
    ) -> Result[DispatchPlan, Failure]:
        for endpoint in self.view.usable(work.service):
            if endpoint.identity not in excluded:
                return Ok(
                    DispatchPlan(
                        endpoint=endpoint,
                        delay_seconds=self.delay_seconds,
                        read_seconds=self.delay_seconds + 0.1,
                        grant='g',
                    ),
                )
        return Error(not_run(Reason.NO_ENDPOINT))

    def _release(
        self, work: CallerRequest, placement: DispatchPlan, failed
    ) -> None:
        names = tuple(each.name for each in failed)
        self.released.append((placement.endpoint.name, names))

    @asynccontextmanager
    async def _send(self, work, placement, seconds_left, last_event):
        self.sent.append(
            SentRequest(
                endpoint=placement.endpoint.name,
                at=trio.current_time(),
                seconds_left=seconds_left,
                last_event=last_event,
            ),
        )
        script = self.scripts.pop(0)
        try:
            if isinstance(script, Failure):
                raise FailureError(script)
            if isinstance(script, EndpointResponse):
                yield script
            else:
                yield EndpointResponse(
                    status=200,
                    headers=(),
                    chunks=lambda: script(last_event or 0),
                )
        finally:
            self.ended.append(trio.current_time())


def events(first: int, last: int, *, pause: float = 0.05) -> Script:
    """Return a script that sends the events ``first`` to ``last`` and ends.

    It waits ``pause`` seconds before each, and skips those that the caller
    has.
    """

    async def script(seen: int) -> AsyncIterator[bytes]:
        for number in range(max(first, seen + 1), last + 1):
            await trio.sleep(pause)
            yield f'id: {number}\ndata: x\n\n'.encode()

    return script


def events_then(script: Script, then: Failure | float) -> Script:
    """Return a script that runs another, then fails or pauses.

    ``then`` is the failure or the pause in seconds.
    """

    async def broken(seen: int) -> AsyncIterator[bytes]:
        async for chunk in script(seen):
            yield chunk
        if isinstance(then, Failure):
            raise FailureError(then)
        await trio.sleep(then)

    return broken


def whole_response(status: int, *, refused: bool = False, body: bytes = b'ok'):
    """Return an endpoint's response with the given body."""

    async def chunks() -> AsyncIterator[bytes]:
        yield body

    return EndpointResponse(
        status=status, headers=(), chunks=chunks, refused=refused
    )


BROKEN = may_have_run(Reason.CONNECTION_BROKEN, 'reset')
REFUSED = not_run(Reason.CONNECT_FAILED, 'connection refused')


@asynccontextmanager
async def _reserve_memory(
    placement: DispatchPlan,
) -> AsyncIterator[DispatchPlan]:
    yield placement


def _render(failure: Failure) -> Response:
    status = 503 if failure.verdict == 'not-run' else 502
    return Response(status=status, body=str(failure.reason).encode())
