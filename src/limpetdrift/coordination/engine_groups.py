"""Prompts that are larger than one engine: a group of engines holds the parts.

A group takes its memory as many small holds, in one global order: by endpoint
name, then by part. Each hold first waits for a grant at its engine's home,
where it is ordered and ages like any request; so a group gathers memory bit
by bit while short work goes on in the rest, and two groups never wait for
each other in a ring. The last endpoint in the order runs the stream. It is
all or nothing: a group that can't complete in time gives everything back and
tries again after a pause with jitter.

The owner renews the holds until the attempt is released. Once a renewal
shows that a hold is gone, the others are given back at once; if the owner
dies, they expire.
"""

import math
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field, replace
from random import Random

import trio
from expression import Error, Result
from xxhash import xxh64_hexdigest

from limpetdrift import telemetry
from limpetdrift.protocol.engine_management import (
    EngineManagementCalls,
    HoldRequest,
)
from limpetdrift.protocol.grants import Grant
from limpetdrift.protocol.node import Endpoint, Node
from limpetdrift.protocol.placement import (
    AttemptOutcome,
    GroupMember,
    Placement,
    PlacementRequest,
)
from limpetdrift.protocol.verdict import (
    Failure,
    Reason,
    not_run,
)

HOLD_SECONDS = 12.0
RENEW_SECONDS = 3.0
GATHER_SECONDS = 25.0
_MEMBER_SHARE = 0.5
_HOLDS_PER_MEMBER = 4
_REFUSAL_PAUSE_SECONDS = 0.2
_FIRST_PAUSE_SECONDS = 0.5
_LONGEST_PAUSE_SECONDS = 8.0
_JITTER = (0.5, 1.5)
_TOO_LARGE = not_run(Reason.NO_MEMORY, 'larger than all engines together')
_LOST = not_run(Reason.NO_MEMORY, 'a member of the group was lost')
_DEADLINE = not_run(Reason.DEADLINE, 'memory for the group was not free')

TakeGrant = Callable[
    [PlacementRequest, Endpoint, float],
    Awaitable[Result[Grant, Failure]],
]
GiveBack = Callable[[Endpoint, str, AttemptOutcome], None]


@dataclass(frozen=True, kw_only=True, slots=True)
class GroupInputs:
    """What group placement works with.

    ``take`` waits for a grant at an endpoint's home until a time; ``give``
    returns one.
    """

    node: Node
    reports: EngineManagementCalls
    acquire_grant: TakeGrant
    release_grant: GiveBack
    random: Random


@dataclass(kw_only=True, slots=True)
class _Hold:
    """One hold; ``renewed_at`` is ``None`` until the engine has it."""

    endpoint: Endpoint
    hold_id: str
    grant_id: str
    renewed_at: float | None = None


@dataclass(frozen=True, kw_only=True, slots=True)
class _Plan:
    """The members in the global order, and the memory of each part."""

    members: tuple[Endpoint, ...]
    leader: Endpoint
    part_tokens: int
    leader_tokens: int


@dataclass(kw_only=True, slots=True)
class _Group:
    """One group while it gathers and while its stream runs."""

    request: PlacementRequest
    serial: int
    holds: list[_Hold] = field(default_factory=list)
    lost: bool = False
    scope: trio.CancelScope = field(default_factory=trio.CancelScope)


class EngineGroups:
    """Gathers, renews and frees groups; ``run`` must run beside it."""

    def __init__(self, *, inputs: GroupInputs) -> None:
        self._inputs = inputs
        self._groups: dict[str, _Group] = {}
        self._nursery: trio.Nursery | None = None
        self._serial = 0

    async def run(
        self,
        *,
        task_status: trio.TaskStatus = trio.TASK_STATUS_IGNORED,
    ) -> None:
        """Renew the holds of all groups until cancelled."""
        async with trio.open_nursery() as nursery:
            self._nursery = nursery
            task_status.started()
            await trio.sleep_forever()

    async def place(
        self,
        request: PlacementRequest,
        endpoints: list[Endpoint],
        capacity_tokens: int,
    ) -> Result[Placement, Failure]:
        """Return a placement over a group once all its memory is held."""
        deadline_at = trio.current_time() + request.deadline_in_seconds
        pause_seconds = _FIRST_PAUSE_SECONDS
        while trio.current_time() < deadline_at:
            plan = _make_plan(
                request,
                endpoints,
                capacity_tokens,
                self._inputs.random,
            )
            if plan is None:
                return Error(_TOO_LARGE)
            placed = await self._gather(request, plan, deadline_at)
            if placed.is_ok():
                return placed
            telemetry.count('retries', reason=placed.error.reason)
            jitter = self._inputs.random.uniform(*_JITTER)
            left = deadline_at - trio.current_time()
            await trio.sleep(max(0, min(pause_seconds * jitter, left)))
            pause_seconds = min(pause_seconds * 2, _LONGEST_PAUSE_SECONDS)
        return Error(_DEADLINE)

    def release(self, placement: Placement) -> None:
        """Free the holds of a placement; unknown ones are passed over."""
        group = self._groups.pop(placement.grant_id, None)
        if group is not None:
            self._drop(group)

    async def _gather(
        self,
        request: PlacementRequest,
        plan: _Plan,
        deadline_at: float,
    ) -> Result[Placement, Failure]:
        self._serial += 1
        group = _Group(request=request, serial=self._serial)
        if self._nursery is not None:
            self._nursery.start_soon(self._keep, group)
        until = min(deadline_at, trio.current_time() + GATHER_SECONDS)
        placed: Result[Placement, Failure] = Error(_DEADLINE)
        try:
            with trio.move_on_at(until):
                placed = await self._take_all(group, plan, until)
        finally:
            if placed.is_error():
                self._drop(group)
        if placed.is_ok():
            self._groups[placed.ok.grant_id] = group
        return placed

    async def _take_all(
        self,
        group: _Group,
        plan: _Plan,
        until: float,
    ) -> Result[Placement, Failure]:
        for member in plan.members:
            for _ in range(_HOLDS_PER_MEMBER):
                failure = await self._take_hold(
                    group,
                    member,
                    plan.part_tokens,
                    until,
                )
                if failure is not None:
                    return Error(failure)
        leader_request = replace(
            group.request,
            prompt_tokens=plan.leader_tokens - group.request.max_tokens,
            prefix_blocks=(),
        )
        grant = await self._inputs.acquire_grant(
            leader_request, plan.leader, until
        )
        if grant.is_ok() and group.lost:
            self._inputs.release_grant(
                plan.leader,
                grant.ok.grant_id,
                AttemptOutcome.CANCELLED,
            )
            return Error(_LOST)
        return grant.map(lambda taken: _make_placement(group, plan, taken))

    async def _take_hold(
        self,
        group: _Group,
        member: Endpoint,
        tokens: int,
        until: float,
    ) -> Failure | None:
        hold_id = _hold_id(group)
        part = replace(
            group.request,
            request_key=hold_id,
            prompt_tokens=tokens,
            max_tokens=0,
            prefix_blocks=(),
            memory_only=True,
        )
        grant = await self._inputs.acquire_grant(part, member, until)
        if grant.is_error():
            return grant.error
        hold = _Hold(
            endpoint=member,
            hold_id=hold_id,
            grant_id=grant.ok.grant_id,
        )
        group.holds.append(hold)
        return await self._hold_at_engine(group, hold, tokens)

    async def _hold_at_engine(
        self,
        group: _Group,
        hold: _Hold,
        tokens: int,
    ) -> Failure | None:
        message = HoldRequest(
            hold_id=hold.hold_id,
            tokens=tokens,
            request_key=group.request.request_key,
            attempt=group.request.attempt,
            holder=self._inputs.node.name,
            incarnation=self._inputs.node.incarnation,
            expires_in_seconds=HOLD_SECONDS,
        )
        address = hold.endpoint.address
        while not group.lost:
            asked_at = trio.current_time()
            held = await self._inputs.reports.reserve_memory(address, message)
            if held.is_ok():
                hold.renewed_at = asked_at
                return None
            if held.error.reason is not Reason.NO_MEMORY:
                return held.error
            await trio.sleep(_REFUSAL_PAUSE_SECONDS)
        return _LOST

    async def _keep(self, group: _Group) -> None:
        with group.scope:
            while not group.lost:
                await trio.sleep(RENEW_SECONDS)
                await self._renew_all(group)
        if group.lost:
            telemetry.count('groups_lost')
            self._drop(group)

    async def _renew_all(self, group: _Group) -> None:
        async with trio.open_nursery() as nursery:
            for hold in tuple(group.holds):
                nursery.start_soon(self._renew, group, hold)

    async def _renew(self, group: _Group, hold: _Hold) -> None:
        if hold.renewed_at is None:
            return
        asked_at = trio.current_time()
        outcome = await self._inputs.reports.renew(
            hold.endpoint.address,
            hold.hold_id,
            HOLD_SECONDS,
        )
        if outcome.is_ok():
            hold.renewed_at = asked_at
        elif outcome.error.reason is Reason.STREAM_UNKNOWN:
            group.lost = True
        elif asked_at - hold.renewed_at >= HOLD_SECONDS:
            group.lost = True

    def _drop(self, group: _Group) -> None:
        group.scope.cancel()
        holds = tuple(group.holds)
        group.holds.clear()
        for hold in holds:
            self._inputs.release_grant(
                hold.endpoint,
                hold.grant_id,
                AttemptOutcome.CANCELLED,
            )
            if self._nursery is not None:
                self._nursery.start_soon(
                    self._inputs.reports.release_reservation,
                    hold.endpoint.address,
                    hold.hold_id,
                )


def _hold_id(group: _Group) -> str:
    request = group.request
    name = f'{request.request_key}/{request.attempt}'
    digest = xxh64_hexdigest(name.encode())
    return f'{digest}-{group.serial}-{len(group.holds)}'


def _make_plan(
    request: PlacementRequest,
    endpoints: list[Endpoint],
    capacity_tokens: int,
    random: Random,
) -> _Plan | None:
    total = request.prompt_tokens + request.max_tokens
    wanted = math.ceil(total / (capacity_tokens * _MEMBER_SHARE))
    size = min(wanted, len(endpoints))
    share = math.ceil(total / max(1, size))
    if size < 2 or share > capacity_tokens:
        return None
    chosen = sorted(
        random.sample(endpoints, size),
        key=lambda endpoint: endpoint.name,
    )
    part = math.ceil(share / _HOLDS_PER_MEMBER)
    held = part * _HOLDS_PER_MEMBER * (size - 1)
    return _Plan(
        members=tuple(chosen[:-1]),
        leader=chosen[-1],
        part_tokens=part,
        leader_tokens=max(request.max_tokens + 1, total - held),
    )


def _make_placement(group: _Group, plan: _Plan, grant: Grant) -> Placement:
    return Placement(
        endpoint=plan.leader,
        grant_id=grant.grant_id,
        priority=grant.priority,
        group=tuple(
            GroupMember(endpoint=hold.endpoint, hold_id=hold.hold_id)
            for hold in group.holds
        ),
    )
