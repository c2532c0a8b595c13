"""Simulates one run of a workload: entries, engines, callers and faults.

>>> spec = RunSpec(case='quiet', policy='planner', seed=1)
>>> run = simulate_run(workload, spec)  # doctest: +SKIP
>>> len(run.outcomes)  # doctest: +SKIP
512
"""

import itertools
from contextlib import ExitStack
from dataclasses import dataclass
from functools import partial

import trio
from trio.testing import MockClock, wait_all_tasks_blocked

from limpetdrift.protocol.route_table import RequestKind, Route, ServiceShare
from limpetdrift.protocol.work import CallerRequest, PromptSize
from limpetdrift.replays.arrivals import Arrival, draw_arrivals
from limpetdrift.replays.callers import (
    CONNECT_TIMEOUT_SECONDS,
    RecordingExchange,
    RequestOutcome,
    call,
)
from limpetdrift.replays.faults import inject_fault
from limpetdrift.replays.policies import SERVICE
from limpetdrift.replays.simulated_site import (
    RunSpec,
    SimulatedSite,
    make_engines,
    make_entries,
)
from limpetdrift.replays.task_order import seed_task_order
from limpetdrift.replays.workload import Kind, Workload

# Maximum attempts of one request at engines.
_ATTEMPT_LIMIT = 2


@dataclass(frozen=True, kw_only=True, slots=True)
class Run:
    """The results of one run.

    ``messages`` and ``message_bytes`` count the messages between entries,
    ``reports`` the reports read from engines.
    """

    spec: RunSpec
    outcomes: tuple[RequestOutcome, ...]
    messages: int
    message_bytes: int
    reports: int


def list_runs(workload: Workload) -> tuple[RunSpec, ...]:
    """Return all runs in order; within each seed, policies alternate."""
    combinations = itertools.product(
        workload.cases, workload.seeds, workload.policies
    )
    return tuple(
        RunSpec(case=case, policy=policy, seed=seed)
        for case, seed, policy in combinations
    )


def simulate_run(workload: Workload, spec: RunSpec) -> Run:
    """Simulate one run in virtual time."""
    site = SimulatedSite(workload=workload, spec=spec)
    seed_task_order(spec.seed)
    clock = MockClock(autojump_threshold=0)
    trio.run(_simulate, site, clock=clock)
    return Run(
        spec=spec,
        outcomes=tuple(site.outcomes),
        messages=site.messages,
        message_bytes=site.message_bytes,
        reports=site.reports,
    )


async def _simulate(site: SimulatedSite) -> None:
    make_engines(site)
    make_entries(site)
    async with trio.open_nursery() as background:
        for engine in site.engines.values():
            background.start_soon(engine.run)
        background.start_soon(_run_entries, site)
        for fault in site.case.faults:
            background.start_soon(inject_fault, site, fault)
        async with trio.open_nursery() as callers:
            for arrival in draw_arrivals(
                site.workload, site.case, site.spec.seed
            ):
                callers.start_soon(_call_on_arrival, site, arrival)
        background.cancel_scope.cancel()


async def _run_entries(site: SimulatedSite) -> None:
    """Run the entries' tasks, and stop and restart them at each outage."""
    for outage in sorted(site.case.outages, key=lambda each: each.at_seconds):
        with trio.move_on_at(outage.at_seconds):
            await _run_tasks(site)
        site.is_down = True
        with ExitStack() as kept:
            for engine in site.engines.values():
                kept.enter_context(engine.orphans.keeping())
            for connection in tuple(site.connections):
                connection.cancel()
            await wait_all_tasks_blocked()
        await trio.sleep(outage.for_seconds)
        make_entries(site)
        site.is_down = False
    await _run_tasks(site)


async def _run_tasks(site: SimulatedSite) -> None:
    async with trio.open_nursery() as nursery:
        for task in site.tasks:
            nursery.start_soon(task)
        nursery.start_soon(trio.sleep_forever)


async def _call_on_arrival(site: SimulatedSite, arrival: Arrival) -> None:
    await trio.sleep(arrival.at)
    kind = site.workload.kinds[arrival.kind]
    serve = partial(_serve, site, _make_route(arrival.kind, kind))
    outcome = await call(arrival, kind, site.case.returns, serve)
    site.outcomes.append(outcome)


async def _serve(
    site: SimulatedSite,
    route: Route,
    arrival: Arrival,
    deadline: float,
    exchange: RecordingExchange,
) -> None:
    randomness = site.make_random(arrival.number)
    while not exchange.disconnected.is_set():
        exchange.last_event_at = trio.current_time()
        if site.is_down:
            await trio.sleep(CONNECT_TIMEOUT_SECONDS)
            continue
        work = _make_request(site, route, arrival, deadline, exchange)
        connection = trio.CancelScope()
        site.connections.add(connection)
        with connection:
            await randomness.choice(site.forwarders).serve(work, exchange)
        site.connections.discard(connection)
        if not connection.cancelled_caught:
            return


def _make_request(
    site: SimulatedSite,
    route: Route,
    arrival: Arrival,
    deadline: float,
    exchange: RecordingExchange,
) -> CallerRequest:
    size = PromptSize(
        prompt_tokens=arrival.tokens,
        answer_tokens=arrival.events * site.workload.engines.stride,
    )
    return CallerRequest(
        request_id=str(arrival.number),
        method='POST',
        target='/',
        headers=(),
        # Sets the request apart from others of its account.
        body=str(arrival.number).encode(),
        route=route,
        service=SERVICE,
        version=1,
        arrived_at=trio.current_time(),
        deadline=deadline,
        account=arrival.account,
        size=size,
        last_event_id=exchange.events or None,
    )


def _make_route(name: str, kind: Kind) -> Route:
    return Route(
        name=name,
        host='',
        prefix='/',
        kind=RequestKind.STREAMING,
        timeout_seconds=kind.deadline_seconds,
        target_seconds=kind.target_seconds,
        shares=(ServiceShare(service=SERVICE),),
        attempt_limit=_ATTEMPT_LIMIT,
        resumable=True,
        pause_seconds=kind.pause_seconds,
        patience_seconds=kind.patience_seconds,
    )
