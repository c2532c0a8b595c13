"""Joins what brings requests to their ends: placement, reclaim and owner."""

import random
from dataclasses import dataclass
from functools import partial

import trio

from limpetdrift.coordination.drive import (
    DriveParts,
    RunOnce,
    drive_run,
    refuse_once,
)
from limpetdrift.coordination.endpoints import Endpoints, LeavingSource
from limpetdrift.coordination.enginelook import make_look_at
from limpetdrift.coordination.home import Home
from limpetdrift.coordination.owner import Owner
from limpetdrift.coordination.peers import (
    PEER_SECRET_HEADER,
    PeerCall,
    PeerRoutes,
)
from limpetdrift.coordination.placer import Placer, PlacerInputs
from limpetdrift.coordination.policies import POLICIES
from limpetdrift.coordination.probing import ProbeState
from limpetdrift.coordination.quarantine import Quarantine, QuarantineInputs
from limpetdrift.coordination.quarantinespread import DIGEST_NAME
from limpetdrift.coordination.reclaim import Reclaimer, ReclaimInputs
from limpetdrift.coordination.services import RunOnce as CallOnce
from limpetdrift.coordination.services import ServiceCaller
from limpetdrift.coordination.services import refuse_once as refuse_call
from limpetdrift.coordination.servicesingle import SingleServiceCalls
from limpetdrift.coordination.singlerun import SingleRuns
from limpetdrift.programs.entryviews import Views
from limpetdrift.programs.serving import Task
from limpetdrift.programs.storeparts import StoreParts, join_claims
from limpetdrift.protocol.engine import EngineCalls
from limpetdrift.protocol.enginereports import (
    EngineReports,
    make_engine_reports,
)
from limpetdrift.protocol.node import Endpoint
from limpetdrift.protocol.service import ServiceCalls
from limpetdrift.protocol.verdict import Failure, Reason
from limpetdrift.settings import EntrySettings
from limpetdrift.state.prefixes import PrefixPlaces
from limpetdrift.state.retrybudget import RetryBudget
from limpetdrift.transport.client import HttpClient


@dataclass(frozen=True, kw_only=True)
class Wiring:
    """What the joining functions share."""

    settings: EntrySettings
    client: HttpClient
    call: PeerCall
    messages: PeerRoutes
    secret: str
    nursery: trio.Nursery


@dataclass(frozen=True, kw_only=True)
class RunParts:
    """The owner of requests, the homes of endpoints, and their tasks."""

    owner: Owner
    services: ServiceCaller
    home: Home
    quarantine: Quarantine
    tasks: tuple[Task, ...]


@dataclass(frozen=True, kw_only=True)
class _Single:
    run_once: RunOnce
    call_once: CallOnce
    tasks: tuple[Task, ...] = ()


def join_runs(
    wiring: Wiring,
    views: Views,
    store: StoreParts | None,
) -> RunParts:
    """Return the parts; their messages are offered to peers."""
    reports = make_engine_reports(wiring.client)
    policy = POLICIES[wiring.settings.placement_policy]
    home = Home(policy=policy, reports=reports)
    home.mount(wiring.messages)
    placer = Placer(
        inputs=PlacerInputs(
            node=views.node,
            live_entries=views.live_entries,
            endpoints=views.endpoints.endpoints,
            call=wiring.call,
        ),
        home=home,
        state=ProbeState(random=random.Random(), places=PrefixPlaces()),
    )
    single = _join_single(wiring, views, store)
    quarantine = _join_quarantine(wiring, views, reports)
    owner = _join_owner(
        wiring,
        views,
        placer,
        single.run_once,
    )
    reclaimer = _join_reclaimer(wiring, views, reports, owner)
    services = ServiceCaller(
        calls=ServiceCalls(client=wiring.client),
        endpoints=views.endpoints.endpoints,
        run_once=single.call_once,
        budget=RetryBudget(),
        nursery=wiring.nursery,
        randomness=random.Random(),
    )
    return RunParts(
        owner=owner,
        services=services,
        home=home,
        quarantine=quarantine,
        tasks=(
            quarantine.run,
            home.run,
            placer.run,
            reclaimer.run,
            owner.sweep,
            *single.tasks,
        ),
    )


def _join_single(
    wiring: Wiring,
    views: Views,
    store: StoreParts | None,
) -> _Single:
    if store is None:
        return _Single(run_once=refuse_once, call_once=refuse_call)
    claims = join_claims(store, views.node, wiring.call)
    claims.mount(wiring.messages)
    owners = EngineCalls(
        client=wiring.client,
        silence_seconds=wiring.settings.engine_silence_seconds,
        headers=((PEER_SECRET_HEADER, wiring.secret),),
    )
    single = SingleRuns(
        claims=claims,
        engine=_join_engine(wiring),
        owners=owners,
    )
    calls = SingleServiceCalls(
        node=views.node,
        claims=claims,
        peer_call=wiring.call,
    )
    calls.mount(wiring.messages)
    return _Single(
        run_once=single.run,
        call_once=calls.run,
        tasks=(claims.run,),
    )


def _join_engine(wiring: Wiring) -> EngineCalls:
    return EngineCalls(
        client=wiring.client,
        silence_seconds=wiring.settings.engine_silence_seconds,
    )


def _join_owner(
    wiring: Wiring,
    views: Views,
    placer: Placer,
    run_once: RunOnce,
) -> Owner:
    node = views.node
    parts = DriveParts(
        name=node.name,
        incarnation=node.incarnation,
        engine=_join_engine(wiring),
        place=placer.place,
        release=placer.release,
        run_once=run_once,
        note_failure=partial(_note_failure, views.endpoints),
        budget=RetryBudget(),
        nursery=wiring.nursery,
        random=random.Random(),
    )
    return Owner(
        name=node.name,
        incarnation=node.incarnation,
        random_source=random.Random(),
        drive=partial(drive_run, parts),
        nursery=wiring.nursery,
    )


def _join_quarantine(
    wiring: Wiring,
    views: Views,
    reports: EngineReports,
) -> Quarantine:
    quarantine = Quarantine(
        inputs=QuarantineInputs(
            node=views.node,
            live_entries=views.live_entries,
            endpoints=views.endpoints.endpoints,
            call=wiring.call,
            look_at=make_look_at(reports),
        ),
    )
    quarantine.mount(wiring.messages)
    views.membership.attach(
        DIGEST_NAME,
        quarantine.spread.make_digest,
        quarantine.spread.on_digest,
    )
    return quarantine


def _note_failure(
    endpoints: Endpoints,
    endpoint: Endpoint,
    failure: Failure,
) -> None:
    if failure.reason is Reason.ENDPOINT_LEAVING:
        endpoints.note_leaving(endpoint.name, LeavingSource.REFUSAL)


def _join_reclaimer(
    wiring: Wiring,
    views: Views,
    reports: EngineReports,
    owner: Owner,
) -> Reclaimer:
    reclaimer = Reclaimer(
        inputs=ReclaimInputs(
            node=views.node,
            live_entries=views.live_entries,
            endpoints=views.endpoints.endpoints,
            call=wiring.call,
            reports=reports,
            owns=owner.owns_attempt,
        ),
    )
    reclaimer.mount(wiring.messages)
    return reclaimer
