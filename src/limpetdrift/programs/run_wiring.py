"""Builds the components that place, run, guard and reclaim requests."""

import random
from dataclasses import dataclass
from functools import partial

import trio

from limpetdrift.coordination.crashes.engine_probe import make_probe
from limpetdrift.coordination.crashes.quarantine import (
    Quarantine,
    QuarantineInputs,
)
from limpetdrift.coordination.crashes.quarantine_replication import DIGEST_NAME
from limpetdrift.coordination.homes.candidate_selection import ProbeState
from limpetdrift.coordination.homes.endpoint_directory import (
    EndpointDirectory,
    LeavingSource,
)
from limpetdrift.coordination.homes.home import HomeServer
from limpetdrift.coordination.homes.placer import Placer, PlacerInputs
from limpetdrift.coordination.homes.policies import POLICIES
from limpetdrift.coordination.homes.reclaim import Reclaimer, ReclaimInputs
from limpetdrift.coordination.peers import (
    PEER_SECRET_HEADER,
    PeerCall,
    PeerRoutes,
)
from limpetdrift.coordination.runs.at_most_once_runs import AtMostOnceRuns
from limpetdrift.coordination.runs.run_execution import (
    AtMostOnceRunner,
    RunInputs,
    execute_run,
    refuse_non_idempotent,
)
from limpetdrift.coordination.runs.run_registry import RunRegistry
from limpetdrift.coordination.services.at_most_once_calls import AtMostOnceCalls
from limpetdrift.coordination.services.service_caller import (
    CallOnce,
    ServiceCaller,
    refuse_call,
)
from limpetdrift.programs.serving import Task
from limpetdrift.programs.site_wiring import SiteView
from limpetdrift.programs.store_wiring import StoreAccess, build_claims
from limpetdrift.protocol.engine import EngineCalls
from limpetdrift.protocol.engine_management import (
    EngineManagementCalls,
    make_engine_management_calls,
)
from limpetdrift.protocol.node import Endpoint
from limpetdrift.protocol.service import ServiceCalls
from limpetdrift.settings import EntrySettings
from limpetdrift.state.prefixes import PrefixEndpoints
from limpetdrift.state.retry_budget import RetryBudget
from limpetdrift.transport.client import HttpClient
from limpetdrift.verdict import Failure, Reason


@dataclass(frozen=True, kw_only=True)
class Wiring:
    """Dependencies that the functions which build components share.

    ``call`` sends requests to peers and ``peer_routes`` handles theirs, both
    authenticated by ``secret``. Background work runs in ``nursery``.
    """

    settings: EntrySettings
    client: HttpClient
    call: PeerCall
    peer_routes: PeerRoutes
    secret: str
    nursery: trio.Nursery


@dataclass(frozen=True, kw_only=True)
class RequestInputs:
    """The components that process requests, and their background tasks.

    ``registry`` holds the runs that this entry owns, ``services`` sends calls
    to plain services, and ``home`` keeps the queues of the endpoints that this
    entry is home of.
    """

    registry: RunRegistry
    services: ServiceCaller
    home: HomeServer
    quarantine: Quarantine
    tasks: tuple[Task, ...]


@dataclass(frozen=True, kw_only=True)
class _AtMostOnceSupport:
    """How non-idempotent runs and service calls are carried out."""

    run_once: AtMostOnceRunner
    call_once: CallOnce
    tasks: tuple[Task, ...] = ()


def build_runs(
    wiring: Wiring,
    site_view: SiteView,
    store: StoreAccess | None,
) -> RequestInputs:
    """Build the components and register their handlers for peers.

    Without a store, non-idempotent requests are refused.
    """
    reports = make_engine_management_calls(wiring.client)
    policy = POLICIES[wiring.settings.placement_policy]
    home = HomeServer(policy=policy, reports=reports)
    home.register(wiring.peer_routes)
    placer = Placer(
        inputs=PlacerInputs(
            node=site_view.node,
            live_entries=site_view.live_entries,
            endpoints=site_view.endpoints.endpoints,
            call=wiring.call,
        ),
        home=home,
        state=ProbeState(
            randomness=random.Random(), prefix_endpoints=PrefixEndpoints()
        ),
    )
    at_most_once = _build_at_most_once(wiring, site_view, store)
    quarantine = _build_quarantine(wiring, site_view, reports)
    registry = _build_registry(
        wiring,
        site_view,
        placer,
        at_most_once.run_once,
    )
    reclaimer = _build_reclaimer(wiring, site_view, reports, registry)
    services = ServiceCaller(
        calls=ServiceCalls(client=wiring.client),
        endpoints=site_view.endpoints.endpoints,
        call_once=at_most_once.call_once,
        budget=RetryBudget(),
        nursery=wiring.nursery,
        randomness=random.Random(),
    )
    return RequestInputs(
        registry=registry,
        services=services,
        home=home,
        quarantine=quarantine,
        tasks=(
            quarantine.run,
            home.run,
            placer.run,
            reclaimer.run,
            registry.sweep,
            *at_most_once.tasks,
        ),
    )


def _build_at_most_once(
    wiring: Wiring,
    site_view: SiteView,
    store: StoreAccess | None,
) -> _AtMostOnceSupport:
    if store is None:
        return _AtMostOnceSupport(
            run_once=refuse_non_idempotent, call_once=refuse_call
        )
    claims = build_claims(store, site_view.node, wiring.call)
    claims.register(wiring.peer_routes)
    owner_calls = EngineCalls(
        client=wiring.client,
        idle_timeout_seconds=wiring.settings.engine_silence_seconds,
        headers=((PEER_SECRET_HEADER, wiring.secret),),
    )
    runs = AtMostOnceRuns(
        claims=claims,
        engine=_make_engine_calls(wiring),
        owners=owner_calls,
    )
    calls = AtMostOnceCalls(
        node=site_view.node,
        claims=claims,
        peer_call=wiring.call,
    )
    calls.register(wiring.peer_routes)
    return _AtMostOnceSupport(
        run_once=runs.run,
        call_once=calls.run,
        tasks=(claims.run,),
    )


def _make_engine_calls(wiring: Wiring) -> EngineCalls:
    return EngineCalls(
        client=wiring.client,
        idle_timeout_seconds=wiring.settings.engine_silence_seconds,
    )


def _build_registry(
    wiring: Wiring,
    site_view: SiteView,
    placer: Placer,
    run_once: AtMostOnceRunner,
) -> RunRegistry:
    node = site_view.node
    inputs = RunInputs(
        name=node.name,
        incarnation=node.incarnation,
        engine=_make_engine_calls(wiring),
        place=placer.place,
        release=placer.release,
        run_at_most_once=run_once,
        report_failure=partial(_mark_if_leaving, site_view.endpoints),
        budget=RetryBudget(),
        nursery=wiring.nursery,
        randomness=random.Random(),
    )
    return RunRegistry(
        name=node.name,
        incarnation=node.incarnation,
        randomness=random.Random(),
        execute=partial(execute_run, inputs),
        nursery=wiring.nursery,
    )


def _build_quarantine(
    wiring: Wiring,
    site_view: SiteView,
    reports: EngineManagementCalls,
) -> Quarantine:
    quarantine = Quarantine(
        inputs=QuarantineInputs(
            node=site_view.node,
            live_entries=site_view.live_entries,
            endpoints=site_view.endpoints.endpoints,
            call=wiring.call,
            probe_endpoint=make_probe(reports),
        ),
    )
    quarantine.register(wiring.peer_routes)
    site_view.membership.register_digest(
        DIGEST_NAME,
        quarantine.replicator.make_digest,
        quarantine.replicator.on_digest,
    )
    return quarantine


def _mark_if_leaving(
    endpoints: EndpointDirectory,
    endpoint: Endpoint,
    failure: Failure,
) -> None:
    if failure.reason is Reason.ENDPOINT_LEAVING:
        endpoints.mark_leaving(endpoint.name, LeavingSource.REFUSAL)


def _build_reclaimer(
    wiring: Wiring,
    site_view: SiteView,
    reports: EngineManagementCalls,
    registry: RunRegistry,
) -> Reclaimer:
    reclaimer = Reclaimer(
        inputs=ReclaimInputs(
            node=site_view.node,
            live_entries=site_view.live_entries,
            endpoints=site_view.endpoints.endpoints,
            call=wiring.call,
            reports=reports,
            owns=registry.owns_attempt,
        ),
    )
    reclaimer.register(wiring.peer_routes)
    return reclaimer
