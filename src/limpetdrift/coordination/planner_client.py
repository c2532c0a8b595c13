"""Finds the entry that plans, and tells it of plans in force and ended."""

from collections.abc import Callable
from dataclasses import dataclass

import trio

from limpetdrift import telemetry
from limpetdrift.coordination.membership import Member
from limpetdrift.coordination.peers import PeerCall
from limpetdrift.coordination.planner import Planner
from limpetdrift.logs import note
from limpetdrift.protocol.gossip import MemberState
from limpetdrift.protocol.node import Node
from limpetdrift.protocol.plans import (
    Acknowledgement,
    ActivePlan,
    ActivePlans,
    EndedPlan,
    EndedPlans,
    Plan,
    PlanRequest,
)
from limpetdrift.protocol.verdict import Failure, Reason

ENDED_PATH = 'plans-ended'
ACTIVE_PATH = 'plans-active'
# A planner that was silent isn't asked for this long, four times as long each
# time in turn. The last is how long peers take to find out that it died.
SILENT_SECONDS = 0.4
SILENT_SECONDS_LIMIT = 4.0
_SILENT_GROWTH = 4
# Ended plans are told in one message after this long.
TELL_SECONDS = 0.05
_TELL_TIMEOUT_SECONDS = 0.3


@dataclass(frozen=True, kw_only=True)
class PlannerClientInputs:
    """What the asking side is given by the rest of the entry.

    ``note_refused`` is told of an entry that refused a connection.
    """

    node: Node
    planner: Planner
    call: PeerCall
    live_entries: Callable[[], tuple[Node, ...]]
    record_connection_refused: Callable[[str], None]
    clock: Callable[[], float]


@dataclass(frozen=True, kw_only=True, slots=True)
class _Active:
    plan: Plan
    request: PlanRequest
    since: float


@dataclass(kw_only=True, slots=True)
class _Silence:
    until: float = float('-inf')
    seconds: float = SILENT_SECONDS


class PlannerClient:
    """The plans in force of one entry, and who is told of them."""

    def __init__(self, *, inputs: PlannerClientInputs) -> None:
        self._inputs = inputs
        self._active: dict[str, _Active] = {}
        self._ended: dict[str, list[EndedPlan]] = {}
        self._told = ''
        self._silences: dict[str, _Silence] = {}
        self._has_ended = trio.Event()
        self._has_changed = trio.Event()

    def planner(self) -> Node | None:
        """Return the entry that plans; ``None`` is this one.

        It is the one that started first: a planner that has just come knows
        nothing, so entries that join must not take over.
        """
        now = self._inputs.clock()
        heard = [
            entry
            for entry in self._inputs.live_entries()
            if not self._is_silent(entry.name, now)
        ]
        chosen = min(heard, key=_started, default=self._inputs.node)
        return None if chosen == self._inputs.node else chosen

    def begin(self, plan: Plan, request: PlanRequest) -> None:
        """Note a plan that is used now."""
        self._active[plan.grant] = _Active(
            plan=plan,
            request=request,
            since=self._inputs.clock(),
        )

    def end(self, service: str, ended: EndedPlan) -> None:
        """Note a plan that has ended, and tell the planner soon."""
        self._active.pop(ended.grant, None)
        if self.planner() is not None:
            self._ended.setdefault(service, []).append(ended)
            self._has_ended.set()

    def take_ended(self, service: str) -> tuple[EndedPlan, ...]:
        """Return the ends that the planner isn't told of yet, once."""
        return tuple(self._ended.pop(service, ()))

    def note_silent(self, planner: Node, failure: Failure) -> None:
        """Leave a planner alone for a while that could not be asked."""
        telemetry.count('planner_silent', reason=failure.reason)
        note(
            'planner out of reach, planning alone',
            planner=planner.name,
            reason=failure.reason,
        )
        if failure.reason is Reason.CONNECT_FAILED:
            self._inputs.record_connection_refused(planner.name)
        silence = self._silences.setdefault(planner.name, _Silence())
        silence.until = self._inputs.clock() + silence.seconds
        silence.seconds = min(
            silence.seconds * _SILENT_GROWTH,
            SILENT_SECONDS_LIMIT,
        )

    def note_answer(self, planner: Node) -> None:
        """Forget that a planner was silent."""
        self._silences.pop(planner.name, None)
        if self._told != planner.name:
            self._has_changed.set()

    def on_members_changed(self, changed: tuple[Member, ...]) -> None:
        """Drop the plans of entries that died, and look for a new planner."""
        for member in changed:
            if member.state is MemberState.DEAD:
                self._inputs.planner.forget_entry(member.node.name)
        self._has_changed.set()

    async def run(self) -> None:
        """Tell planners of plans, new and ended, until cancelled."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._tell_of_ends)
            nursery.start_soon(self._tell_new_planners)

    def _is_silent(self, name: str, now: float) -> bool:
        silence = self._silences.get(name)
        return silence is not None and silence.until > now

    async def _tell_active(self, planner: Node) -> None:
        """Tell a planner that is new to this entry what is in force."""
        self._told = planner.name
        now = self._inputs.clock()
        active = tuple(
            ActivePlan(
                plan=each.plan,
                request=each.request,
                age_seconds=now - each.since,
            )
            for each in self._active.values()
        )
        note('another entry plans', planner=planner.name, told=len(active))
        if active:
            await self._inputs.call(
                planner.peer_address,
                ACTIVE_PATH,
                ActivePlans(active=active),
                Acknowledgement,
                timeout_seconds=_TELL_TIMEOUT_SECONDS,
            )

    async def _tell_new_planners(self) -> None:
        while True:
            await self._has_changed.wait()
            self._has_changed = trio.Event()
            planner = self.planner()
            if planner is not None and planner.name != self._told:
                await self._tell_active(planner)

    async def _tell_of_ends(self) -> None:
        while True:
            await self._has_ended.wait()
            await trio.sleep(TELL_SECONDS)
            self._has_ended = trio.Event()
            for service in tuple(self._ended):
                await self._tell_ended(service)

    async def _tell_ended(self, service: str) -> None:
        ended = self.take_ended(service)
        planner = self.planner()
        if not ended or planner is None:
            return
        answer = await self._inputs.call(
            planner.peer_address,
            ENDED_PATH,
            EndedPlans(service=service, ended=ended),
            Acknowledgement,
            timeout_seconds=_TELL_TIMEOUT_SECONDS,
        )
        if answer.is_error():
            # What it didn't hear of ends there when it is overdue.
            telemetry.count('plans_untold', reason=answer.error.reason)


def _started(entry: Node) -> tuple[int, str]:
    return (entry.incarnation, entry.name)
