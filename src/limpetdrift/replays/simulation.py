"""Plays one run of a load: entries, engines, callers and faults.

>>> turn = Turn(case='quiet', policy='planner', seed=1)
>>> run = play(load, turn)  # doctest: +SKIP
>>> len(run.outcomes)  # doctest: +SKIP
512
"""

import itertools
from dataclasses import dataclass
from functools import partial

import trio
from trio.testing import MockClock

from limpetdrift.protocol.route_table import RequestKind, Route, ServiceShare
from limpetdrift.protocol.work import CallerRequest, PromptSize
from limpetdrift.replays.arrivals import Arrival, draw_arrivals
from limpetdrift.replays.callers import RecordingExchange, RequestOutcome, call
from limpetdrift.replays.faults import inject_fault
from limpetdrift.replays.policies import SERVICE
from limpetdrift.replays.simulated_site import (
    RunSpec,
    SimulatedSite,
    make_engines,
    make_entries,
)
from limpetdrift.replays.workload import Kind, Workload

# Attempts at engines that one request gets.
_ATTEMPT_LIMIT = 2


@dataclass(frozen=True, kw_only=True, slots=True)
class Run:
    """What one run left.

    ``messages`` and ``message_bytes`` are those between entries, ``reports``
    the reports read from engines.
    """

    turn: RunSpec
    outcomes: tuple[RequestOutcome, ...]
    messages: int
    message_bytes: int
    reports: int


def list_runs(load: Workload) -> tuple[RunSpec, ...]:
    """Return all runs of a load, policies by turns within each seed."""
    turns = itertools.product(load.cases, load.seeds, load.policies)
    return tuple(
        RunSpec(case=case, policy=policy, seed=seed)
        for case, seed, policy in turns
    )


def simulate_run(load: Workload, turn: RunSpec) -> Run:
    """Play one run in virtual time."""
    site = SimulatedSite(load=load, turn=turn)
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


async def _play(site: SimulatedSite) -> None:
    make_engines(site)
    make_entries(site)
    async with trio.open_nursery() as world:
        for engine in site.engines.values():
            world.start_soon(engine.run)
        for task in site.tasks:
            world.start_soon(task)
        for fault in site.case.faults:
            world.start_soon(inject_fault, site, fault)
        async with trio.open_nursery() as callers:
            for arrival in draw_arrivals(site.load, site.case, site.turn.seed):
                callers.start_soon(_call_at, site, arrival)
        world.cancel_scope.cancel()


async def _call_at(site: SimulatedSite, arrival: Arrival) -> None:
    await trio.sleep(arrival.at)
    kind = site.load.kinds[arrival.kind]
    serve = partial(_serve, site, _make_route(arrival.kind, kind))
    outcome = await call(arrival, kind, site.case.returns, serve)
    site.outcomes.append(outcome)


async def _serve(
    site: SimulatedSite,
    route: Route,
    arrival: Arrival,
    deadline: float,
    side: RecordingExchange,
) -> None:
    size = PromptSize(
        prompt_tokens=arrival.tokens,
        answer_tokens=arrival.events * site.load.engines.stride,
    )
    work = CallerRequest(
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
        kind=RequestKind.STREAMING,
        timeout_seconds=kind.deadline_seconds,
        target_seconds=kind.target_seconds,
        shares=(ServiceShare(service=SERVICE),),
        attempt_limit=_ATTEMPT_LIMIT,
        resumable=True,
        pause_seconds=kind.pause_seconds,
        patience_seconds=kind.patience_seconds,
    )
