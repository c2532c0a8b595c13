"""Joins the parts that plan for engines, and what all parts are made from."""

import random
from dataclasses import dataclass

from limpetdrift.clocks import boot_time
from limpetdrift.coordination.crashguard import CrashGuard
from limpetdrift.coordination.discovery import usable_entries
from limpetdrift.coordination.enginewatch import EngineWatch, WatchInputs
from limpetdrift.coordination.membership import Member, Membership
from limpetdrift.coordination.peers import PeerCall
from limpetdrift.coordination.planlinks import PlanningInputs
from limpetdrift.coordination.planner import Planner, PlannerInputs
from limpetdrift.coordination.planning import Planning
from limpetdrift.coordination.quarantinespread import (
    DIGEST_NAME,
    QuarantineSpread,
)
from limpetdrift.logs import note
from limpetdrift.platform.calls import is_dead
from limpetdrift.platform.reports import make_report_reader
from limpetdrift.platform.settings import PlatformSettings
from limpetdrift.protocol.node import Node
from limpetdrift.protocol.routetable import EngineLaw
from limpetdrift.protocol.work import ListedEndpoint
from limpetdrift.state.endpointview import EndpointView
from limpetdrift.state.heldroutes import HeldRoutes
from limpetdrift.state.suspects import Suspects
from limpetdrift.transport.client import HttpClient


@dataclass(frozen=True, kw_only=True)
class Base:
    """What most parts are made from."""

    settings: PlatformSettings
    node: Node
    routes: HeldRoutes
    view: EndpointView
    membership: Membership
    randomness: random.Random


def join_planning(
    base: Base,
    call: PeerCall,
) -> tuple[Planning, EngineWatch]:
    """Return what places prompts, and what watches the engines."""

    def find_law(service: str) -> EngineLaw | None:
        found = base.routes.find_service(service)
        return found.engine if found else None

    planner = Planner(
        inputs=PlannerInputs(
            name=base.node.name,
            view=base.view,
            find_law=find_law,
            clock=boot_time,
        ),
    )
    planning = Planning(
        inputs=PlanningInputs(
            node=base.node,
            planner=planner,
            call=call,
            live_entries=lambda: tuple(usable_entries(base.membership)),
            note_refused=base.membership.note_refused,
            clock=boot_time,
        ),
        view=base.view,
    )
    watch = EngineWatch(
        inputs=WatchInputs(
            planner=planner,
            engines=lambda: _engines(base),
            read=make_report_reader(HttpClient()),
            plans=lambda: planning.links.planner() is None,
            clock=boot_time,
        ),
    )
    base.membership.on_change.append(planning.links.note_members)
    base.membership.on_change.append(watch.note_members)
    base.membership.on_change.append(_note_members)
    return planning, watch


def _engines(base: Base) -> dict[str, tuple[ListedEndpoint, ...]]:
    return {
        service.name: base.view.usable(service.name)
        for service in base.routes.services
        if service.engine is not None
    }


def _note_members(changed: tuple[Member, ...]) -> None:
    for member in changed:
        note('peer changed', peer=member.node.name, state=member.state)


def join_guard(base: Base, call: PeerCall) -> CrashGuard:
    """Return what refuses requests that crash endpoints."""
    suspects = Suspects()
    spread = QuarantineSpread(
        node=base.node,
        suspects=suspects,
        live_entries=base.membership.live_entries,
        call=call,
    )
    base.membership.attach(DIGEST_NAME, spread.make_digest, spread.on_digest)
    return CrashGuard(suspects=suspects, spread=spread, is_dead=is_dead)
