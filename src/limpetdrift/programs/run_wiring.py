"""Joins what brings requests to their ends: placement, reclaim and owner."""

import random
from dataclasses import dataclass
from functools import partial

import trio

from limpetdrift.coordination.at_most_once_calls import AtMostOnceCalls
from limpetdrift.coordination.at_most_once_runs import AtMostOnceRuns
from limpetdrift.coordination.candidate_selection import ProbeState
from limpetdrift.coordination.endpoint_directory import (
    EndpointDirectory,
    LeavingSource,
)
from limpetdrift.coordination.engine_probe import make_probe
from limpetdrift.coordination.home import HomeServer
from limpetdrift.coordination.peers import (
    PEER_SECRET_HEADER,
    PeerCall,
    PeerRoutes,
)
from limpetdrift.coordination.placer import Placer, PlacerInputs
from limpetdrift.coordination.policies import POLICIES
from limpetdrift.coordination.quarantine import Quarantine, QuarantineInputs
from limpetdrift.coordination.quarantine_replication import DIGEST_NAME
from limpetdrift.coordination.reclaim import Reclaimer, ReclaimInputs
from limpetdrift.coordination.run_execution import (
    AtMostOnceRunner,
    RunInputs,
    execute_run,
    refuse_non_idempotent,
)
from limpetdrift.coordination.run_registry import RunRegistry
from limpetdrift.coordination.service_caller import (
    CallOnce,
    ServiceCaller,
    refuse_call,
)
from limpetdrift.programs.serving import Task
from limpetdrift.programs.site_wiring import SiteView
from limpetdrift.programs.store_wiring import StoreParts, build_claims
from limpetdrift.protocol.engine import EngineCalls
from limpetdrift.protocol.engine_management import (
    EngineManagementCalls,
    make_engine_management_calls,
)
from limpetdrift.protocol.node import Endpoint
from limpetdrift.protocol.service import ServiceCalls
from limpetdrift.protocol.verdict import Failure, Reason
from limpetdrift.settings import EntrySettings
from limpetdrift.state.prefixes import PrefixPlaces
from limpetdrift.state.retry_budget import RetryBudget
from limpetdrift.transport.client import HttpClient


@dataclass(frozen=True, kw_only=True)
class Wiring:
    """What the joining functions share."""

    settings: EntrySettings
    client: HttpClient
    call: PeerCall
    peer_routes: PeerRoutes
    secret: str
    nursery: trio.Nursery


@dataclass(frozen=True, kw_only=True)
class RequestInputs:
    """The owner of requests, the homes of endpoints, and their tasks."""

    owner: RunRegistry
    services: ServiceCaller
    home: HomeServer
    quarantine: Quarantine
    tasks: tuple[Task, ...]


@dataclass(frozen=True, kw_only=True)
class _Single:
    run_once: AtMostOnceRunner
    call_once: CallOnce
    tasks: tuple[Task, ...] = ()


def build_runs(
    wiring: Wiring,
    views: SiteView,
    store: StoreParts | None,
) -> RequestInputs:
    """Return the parts; their messages are offered to peers."""
    reports = make_engine_management_calls(wiring.client)
    policy = POLICIES[wiring.settings.placement_policy]
    home = HomeServer(policy=policy, reports=reports)
    home.register(wiring.peer_routes)
    placer = Placer(
        inputs=PlacerInputs(
            node=views.node,
            live_entries=views.live_entries,
            endpoints=views.endpoints.endpoints,
            call=wiring.call,
        ),
        home=home,
        state=ProbeState(
            randomness=random.Random(), prefix_places=PrefixPlaces()
        ),
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
        call_once=single.call_once,
        budget=RetryBudget(),
        nursery=wiring.nursery,
        randomness=random.Random(),
    )
    return RequestInputs(
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
    views: SiteView,
    store: StoreParts | None,
) -> _Single:
    if store is None:
        return _Single(run_once=refuse_non_idempotent, call_once=refuse_call)
    claims = build_claims(store, views.node, wiring.call)
    claims.register(wiring.peer_routes)
    owners = EngineCalls(
        client=wiring.client,
        idle_timeout_seconds=wiring.settings.engine_silence_seconds,
        headers=((PEER_SECRET_HEADER, wiring.secret),),
    )
    single = AtMostOnceRuns(
        claims=claims,
        engine=_join_engine(wiring),
        owners=owners,
    )
    calls = AtMostOnceCalls(
        node=views.node,
        claims=claims,
        peer_call=wiring.call,
    )
    calls.register(wiring.peer_routes)
    return _Single(
        run_once=single.run,
        call_once=calls.run,
        tasks=(claims.run,),
    )


def _join_engine(wiring: Wiring) -> EngineCalls:
    return EngineCalls(
        client=wiring.client,
        idle_timeout_seconds=wiring.settings.engine_silence_seconds,
    )


def _join_owner(
    wiring: Wiring,
    views: SiteView,
    placer: Placer,
    run_once: AtMostOnceRunner,
) -> RunRegistry:
    node = views.node
    parts = RunInputs(
        name=node.name,
        incarnation=node.incarnation,
        engine=_join_engine(wiring),
        place=placer.place,
        release=placer.release,
        run_at_most_once=run_once,
        report_failure=partial(_note_failure, views.endpoints),
        budget=RetryBudget(),
        nursery=wiring.nursery,
        randomness=random.Random(),
    )
    return RunRegistry(
        name=node.name,
        incarnation=node.incarnation,
        randomness=random.Random(),
        execute=partial(execute_run, parts),
        nursery=wiring.nursery,
    )


def _join_quarantine(
    wiring: Wiring,
    views: SiteView,
    reports: EngineManagementCalls,
) -> Quarantine:
    quarantine = Quarantine(
        inputs=QuarantineInputs(
            node=views.node,
            live_entries=views.live_entries,
            endpoints=views.endpoints.endpoints,
            call=wiring.call,
            probe_endpoint=make_probe(reports),
        ),
    )
    quarantine.register(wiring.peer_routes)
    views.membership.register_digest(
        DIGEST_NAME,
        quarantine.replicator.make_digest,
        quarantine.replicator.on_digest,
    )
    return quarantine


def _note_failure(
    endpoints: EndpointDirectory,
    endpoint: Endpoint,
    failure: Failure,
) -> None:
    if failure.reason is Reason.ENDPOINT_LEAVING:
        endpoints.mark_leaving(endpoint.name, LeavingSource.REFUSAL)


def _join_reclaimer(
    wiring: Wiring,
    views: SiteView,
    reports: EngineManagementCalls,
    owner: RunRegistry,
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
    reclaimer.register(wiring.peer_routes)
    return reclaimer
