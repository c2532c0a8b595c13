"""Plays one run of a load: entries, engines, callers and faults.

>>> turn = Turn(case='quiet', policy='planner', seed=1)
>>> run = play(load, turn)  # doctest: +SKIP
>>> len(run.outcomes)  # doctest: +SKIP
512
"""

import itertools
import random
from collections.abc import AsyncIterator, Callable
from contextlib import ExitStack, asynccontextmanager
from dataclasses import dataclass, field, replace
from functools import partial

import trio
from expression import Ok, Result
from trio.testing import MockClock

from limpetdrift.coordination.attempts import Answer
from limpetdrift.coordination.forwarding import Forwarder, ForwardingParts
from limpetdrift.coordination.peers import PeerCall, PeerRoutes
from limpetdrift.protocol.codec import encode
from limpetdrift.protocol.node import Node, Role
from limpetdrift.protocol.routetable import Route, ServiceShare, WorkKind
from limpetdrift.protocol.verdict import Failure, Verdict
from limpetdrift.protocol.work import (
    EngineReport,
    ListedEndpoint,
    Placement,
    PromptSize,
    Work,
)
from limpetdrift.replays.arrivals import Arrival, draw_arrivals
from limpetdrift.replays.callers import CallerSide, Outcome, call
from limpetdrift.replays.engines import Engine, Job
from limpetdrift.replays.loadfile import (
    Case,
    Fault,
    FaultKind,
    Kind,
    Load,
)
from limpetdrift.replays.policies import (
    POLICIES,
    SERVICE,
    EntryInputs,
    Task,
)
from limpetdrift.state.endpointview import EndpointView
from limpetdrift.state.retrybudget import RetryBudget
from limpetdrift.transport.messages import Address, Response

# The list of endpoints shows a crash so long after it.
LIST_SECONDS = 2.0
# What engines say of themselves is so old.
REPORT_LAG_SECONDS = 0.3
# Attempts at engines that one request gets.
_ATTEMPT_LIMIT = 2
_DEFAULT_RETRY_SECONDS = 0.4
_RETURN_SPREAD = (0.6, 1.4)
_DOMAINS = 3
# Names sort as their numbers do.
_DIGITS = 3
_REFUSED = 503
_FAILED = 502


@dataclass(frozen=True, kw_only=True, slots=True)
class Turn:
    """Which run it is."""

    case: str
    policy: str
    seed: int


@dataclass(frozen=True, kw_only=True, slots=True)
class Run:
    """What one run left.

    ``messages`` and ``message_bytes`` are those between entries, ``reports``
    the reports read from engines.
    """

    turn: Turn
    outcomes: tuple[Outcome, ...]
    messages: int
    message_bytes: int
    reports: int


@dataclass(kw_only=True)
class _Site:
    load: Load
    turn: Turn
    engines: dict[str, Engine] = field(default_factory=dict)
    views: list[EndpointView] = field(default_factory=list)
    routes: dict[Address, PeerRoutes] = field(default_factory=dict)
    forwarders: list[Forwarder] = field(default_factory=list)
    tasks: list[Task] = field(default_factory=list)
    outcomes: list[Outcome] = field(default_factory=list)
    messages: int = 0
    message_bytes: int = 0
    reports: int = 0

    @property
    def case(self) -> Case:
        """The load that is played."""
        return self.load.cases[self.turn.case]

    def random(self, *names: object) -> random.Random:
        """Return the generator of one concern, seeded by the run."""
        return random.Random(repr((self.turn.seed, *names)))


def turns_of(load: Load) -> tuple[Turn, ...]:
    """Return all runs of a load, policies by turns within each seed."""
    turns = itertools.product(load.cases, load.seeds, load.policies)
    return tuple(
        Turn(case=case, policy=policy, seed=seed)
        for case, seed, policy in turns
    )


def play(load: Load, turn: Turn) -> Run:
    """Play one run in virtual time."""
    site = _Site(load=load, turn=turn)
    # Trio shuffles runnable tasks by a generator of its own; a replay must
    # run the same way each time.
    trio._core._run._r.seed(turn.seed)
    clock = MockClock(autojump_threshold=0)
    trio.run(_play, site, clock=clock)
    return Run(
        turn=turn,
        outcomes=tuple(site.outcomes),
        messages=site.messages,
        message_bytes=site.message_bytes,
        reports=site.reports,
    )


async def _play(site: _Site) -> None:
    _make_engines(site)
    _make_entries(site)
    async with trio.open_nursery() as world:
        for engine in site.engines.values():
            world.start_soon(engine.run)
        for task in site.tasks:
            world.start_soon(task)
        for fault in site.case.faults:
            world.start_soon(_inflict, site, fault)
        async with trio.open_nursery() as callers:
            for arrival in draw_arrivals(site.load, site.case, site.turn.seed):
                callers.start_soon(_call_at, site, arrival)
        world.cancel_scope.cancel()


def _make_engines(site: _Site) -> None:
    sizes = site.load.engines
    for number in range(sizes.count):
        endpoint = ListedEndpoint(
            name=_name('engine', number),
            lifetime=1,
            service=SERVICE,
            address=f'10.1.0.{number}:80',
            failure_domain=_domain(number),
            slots=sizes.slots,
        )
        site.engines[endpoint.name] = Engine(endpoint=endpoint, law=sizes.law)


def _make_entries(site: _Site) -> None:
    nodes = tuple(map(_make_node, range(site.load.entries)))
    for node in nodes:
        view = EndpointView(clock=trio.current_time)
        view.replace(engine.endpoint for engine in site.engines.values())
        routes = PeerRoutes()
        placing = POLICIES[site.turn.policy](
            EntryInputs(
                node=node,
                nodes=nodes,
                law=site.load.engines.law,
                view=view,
                call=_make_call(site),
                peer_routes=routes,
                read_report=partial(_read_report, site),
            ),
        )
        site.views.append(view)
        site.routes[node.peer_address] = routes
        site.tasks += placing.tasks
        randomness = site.random(node.name)
        parts = ForwardingParts(
            place=placing.place,
            release=placing.release,
            hold=partial(_hold, site),
            send=partial(_send, site),
            check=lambda work: None,
            render=partial(_render, randomness),
            note_broken=lambda work, endpoint: None,
            note_served=lambda work: None,
            view=view,
            budget=RetryBudget(),
            clock=trio.current_time,
            randomness=randomness,
        )
        site.forwarders.append(Forwarder(parts=parts))


def _make_node(number: int) -> Node:
    address = Address(host='10.0.0.1', port=1000 + number)
    return Node(
        name=_name('entry', number),
        incarnation=number,
        role=Role.ENTRY,
        region='here',
        failure_domain=_domain(number),
        caller_address=address,
        peer_address=address,
    )


def _domain(number: int) -> str:
    return _name('domain', number % _DOMAINS)


def _name(kind: str, number: int) -> str:
    return '-'.join((kind, str(number).zfill(_DIGITS)))


def _make_call(site: _Site) -> PeerCall:
    async def call_peer(
        address: Address,
        path: str,
        message: object,
        reply: type,
        *,
        timeout_seconds: float,
    ) -> Result:
        body = encode(message)
        await trio.sleep(site.load.peer_seconds)
        outcome = await site.routes[address].dispatch(path, body)
        answer = outcome.ok if outcome.is_ok() else outcome.error
        site.messages += 1
        site.message_bytes += len(body) + len(encode(answer))
        await trio.sleep(site.load.peer_seconds)
        return outcome

    return call_peer


async def _read_report(
    site: _Site,
    endpoint: ListedEndpoint,
) -> Result[EngineReport, Failure]:
    site.reports += 1
    report = site.engines[endpoint.name].report()
    await trio.sleep(REPORT_LAG_SECONDS)
    return Ok(report)


@asynccontextmanager
async def _hold(
    site: _Site,
    placement: Placement,
) -> AsyncIterator[Placement]:
    with ExitStack() as held:
        for endpoint, tokens in placement.reserved:
            engine = site.engines[endpoint.name]
            held.enter_context(engine.places.hold(tokens))
        yield placement


@asynccontextmanager
async def _send(
    site: _Site,
    work: Work,
    placement: Placement,
    seconds_left: float,
    last_event: int | None,
) -> AsyncIterator[Answer]:
    engine = site.engines[placement.endpoint.name]
    helpers = tuple(
        site.engines[helper.endpoint.name] for helper in placement.helpers
    )
    job = Job(
        tokens=work.size.prompt_tokens,
        answer_tokens=work.size.answer_tokens,
        events=work.size.answer_tokens // site.load.engines.stride,
        parts=1 + len(helpers),
        reserved_tokens=sum(tokens for _, tokens in placement.reserved),
        urgency=placement.urgency,
        written=last_event or 0,
    )
    async with engine.open(job, helpers) as answer:
        yield answer


def _render(randomness: random.Random, failure: Failure) -> Response:
    if failure.verdict is not Verdict.NOT_RUN:
        return Response(status=_FAILED)
    pause = failure.retry_after_seconds or _DEFAULT_RETRY_SECONDS
    spread = pause * randomness.uniform(*_RETURN_SPREAD)
    return Response(
        status=_REFUSED,
        headers=(('retry-after', str(spread)),),
    )


async def _call_at(site: _Site, arrival: Arrival) -> None:
    await trio.sleep(arrival.at)
    kind = site.load.kinds[arrival.kind]
    serve = partial(_serve, site, _make_route(arrival.kind, kind))
    outcome = await call(arrival, kind, site.case.returns, serve)
    site.outcomes.append(outcome)


async def _serve(
    site: _Site,
    route: Route,
    arrival: Arrival,
    deadline: float,
    side: CallerSide,
) -> None:
    size = PromptSize(
        prompt_tokens=arrival.tokens,
        answer_tokens=arrival.events * site.load.engines.stride,
    )
    work = Work(
        request_id=str(arrival.number),
        method='POST',
        target='/',
        headers=(),
        body=b'',
        route=route,
        service=SERVICE,
        version=1,
        arrived_at=trio.current_time(),
        deadline=deadline,
        account=arrival.account,
        size=size,
    )
    chosen = site.random(arrival.number)
    await chosen.choice(site.forwarders).serve(work, side)


def _make_route(name: str, kind: Kind) -> Route:
    return Route(
        name=name,
        host='',
        prefix='/',
        kind=WorkKind.STREAMING,
        timeout_seconds=kind.deadline_seconds,
        target_seconds=kind.target_seconds,
        shares=(ServiceShare(service=SERVICE),),
        attempt_limit=_ATTEMPT_LIMIT,
        resumable=True,
        pause_seconds=kind.pause_seconds,
        patience_seconds=kind.patience_seconds,
    )


async def _inflict(site: _Site, fault: Fault) -> None:
    """Let a share of the engines fail, and mend them in the end."""
    await trio.sleep(fault.at_seconds)
    chosen = site.random(fault.kind, fault.at_seconds)
    wanted = max(1, round(len(site.engines) * fault.share))
    engines = chosen.sample(list(site.engines.values()), wanted)
    for engine in engines:
        _BEGIN[fault.kind](engine, fault)
    if fault.kind is FaultKind.GONE:
        await trio.sleep(LIST_SECONDS)
        _take_off_list(site, engines)
        await trio.sleep(max(0, fault.for_seconds - LIST_SECONDS))
        _start_again(site, engines)
        return
    await trio.sleep(fault.for_seconds)
    for engine in engines:
        engine.condition = type(engine.condition)()
        engine.wake()


def _take_off_list(site: _Site, engines: list[Engine]) -> None:
    for view in site.views:
        for engine in engines:
            view.drop(engine.endpoint.name)


def _start_again(site: _Site, engines: list[Engine]) -> None:
    for engine in engines:
        lifetime = engine.endpoint.lifetime + 1
        engine.endpoint = replace(engine.endpoint, lifetime=lifetime)
        engine.condition.alive = True
        for view in site.views:
            view.put(engine.endpoint)


def _crash(engine: Engine, fault: Fault) -> None:
    engine.crash()


def _silence(engine: Engine, fault: Fault) -> None:
    engine.condition.silent = True


def _slow_down(engine: Engine, fault: Fault) -> None:
    engine.condition.pace = fault.times


def _fail(engine: Engine, fault: Fault) -> None:
    engine.condition.failing = True


_BEGIN: dict[FaultKind, Callable[[Engine, Fault], None]] = {
    FaultKind.GONE: _crash,
    FaultKind.SILENT: _silence,
    FaultKind.SLOW: _slow_down,
    FaultKind.FAILING: _fail,
}
