"""Joins the parts that plan for engines, and what all parts are made from."""

import random
from dataclasses import dataclass

from limpetdrift.clocks import boot_time
from limpetdrift.coordination.crash_guard import CrashGuard
from limpetdrift.coordination.discovery import usable_entries
from limpetdrift.coordination.engine_report_poller import (
    EngineReportPoller,
    ReportPollerInputs,
)
from limpetdrift.coordination.membership import Member, Membership
from limpetdrift.coordination.peers import PeerCall
from limpetdrift.coordination.plan_placer import PlanPlacer
from limpetdrift.coordination.planner import Planner, PlannerInputs
from limpetdrift.coordination.planner_client import PlannerClientInputs
from limpetdrift.coordination.quarantine_replication import (
    DIGEST_NAME,
    QuarantineReplicator,
)
from limpetdrift.logs import note
from limpetdrift.platform.endpoint_client import is_dead
from limpetdrift.platform.reports import make_report_reader
from limpetdrift.platform.settings import PlatformSettings
from limpetdrift.protocol.node import Node
from limpetdrift.protocol.route_table import EngineCostModel
from limpetdrift.protocol.work import ListedEndpoint
from limpetdrift.state.endpoint_view import EndpointView
from limpetdrift.state.route_cache import RouteTableCache
from limpetdrift.state.suspects import CrashSuspects
from limpetdrift.transport.client import HttpClient


@dataclass(frozen=True, kw_only=True)
class EntryContext:
    """What most parts are made from."""

    settings: PlatformSettings
    node: Node
    routes: RouteTableCache
    view: EndpointView
    membership: Membership
    randomness: random.Random


def build_planning(
    base: EntryContext,
    call: PeerCall,
) -> tuple[PlanPlacer, EngineReportPoller]:
    """Return what places prompts, and what watches the engines."""

    def find_cost_model(service: str) -> EngineCostModel | None:
        found = base.routes.find_service(service)
        return found.engine if found else None

    planner = Planner(
        inputs=PlannerInputs(
            name=base.node.name,
            view=base.view,
            find_cost_model=find_cost_model,
            clock=boot_time,
        ),
    )
    planning = PlanPlacer(
        inputs=PlannerClientInputs(
            node=base.node,
            planner=planner,
            call=call,
            live_entries=lambda: tuple(usable_entries(base.membership)),
            record_connection_refused=base.membership.record_connection_refused,
            clock=boot_time,
        ),
        view=base.view,
    )
    watch = EngineReportPoller(
        inputs=ReportPollerInputs(
            planner=planner,
            engines=lambda: _engines(base),
            read=make_report_reader(HttpClient()),
            is_planner=lambda: planning.planner_client.planner() is None,
            clock=boot_time,
        ),
    )
    base.membership.on_change.append(planning.planner_client.on_members_changed)
    base.membership.on_change.append(watch.on_members_changed)
    base.membership.on_change.append(_note_members)
    return planning, watch


def _engines(base: EntryContext) -> dict[str, tuple[ListedEndpoint, ...]]:
    return {
        service.name: base.view.usable(service.name)
        for service in base.routes.services
        if service.engine is not None
    }


def _note_members(changed: tuple[Member, ...]) -> None:
    for member in changed:
        note('peer changed', peer=member.node.name, state=member.state)


def build_crash_guard(base: EntryContext, call: PeerCall) -> CrashGuard:
    """Return what refuses requests that crash endpoints."""
    suspects = CrashSuspects()
    replicator = QuarantineReplicator(
        node=base.node,
        suspects=suspects,
        live_entries=base.membership.live_entries,
        call=call,
    )
    base.membership.register_digest(
        DIGEST_NAME, replicator.make_digest, replicator.on_digest
    )
    return CrashGuard(suspects=suspects, replicator=replicator, is_dead=is_dead)
