"""Places prompts that are larger than one engine on groups of engines.

A group acquires its memory as many small reservations, called parts, in one
global order: by endpoint name, then by part. Each part first waits for a
grant at its engine's home, where it is ordered and ages like any request.
Thus a group gathers memory step by step while short requests continue to run
in the remaining memory, and the global order rules out a circular wait
between two groups. The last endpoint in the order, the leader, runs the
stream. A group that is not complete in time releases all its memory, and a
new group is tried after a back-off with jitter.

The owner renews the reservations until the attempt is released. Once a
renewal shows that one reservation is gone, the others are released at once.
If the owner dies, they expire.
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
    ReservationRequest,
)
from limpetdrift.protocol.grants import Grant
from limpetdrift.protocol.node import Endpoint, Node
from limpetdrift.protocol.placement import (
    AttemptOutcome,
    GroupMember,
    Placement,
    PlacementRequest,
)
from limpetdrift.verdict import (
    Failure,
    Reason,
    not_run,
)

# Lifetime of a reservation after its last renewal.
RESERVATION_SECONDS = 12.0
# Short enough for a reservation to outlive several failed renewals.
RENEWAL_INTERVAL_SECONDS = 3.0
# Time after which an incomplete group releases its memory.
GATHER_TIMEOUT_SECONDS = 25.0
# Share of an engine's memory that a group takes, if there are enough engines.
_TARGET_MEMORY_SHARE = 0.5
# A member's memory is acquired in several parts, since a small one is free
# sooner than the whole.
_RESERVATIONS_PER_MEMBER = 4
# Retry interval after an engine refused a granted reservation.
_REFUSAL_RETRY_SECONDS = 0.2
_INITIAL_BACKOFF_SECONDS = 0.5
_MAX_BACKOFF_SECONDS = 8.0
# Range of the random factor of the back-off.
_JITTER = (0.5, 1.5)
_TOO_LARGE = not_run(Reason.NO_MEMORY, 'larger than all engines together')
_LOST = not_run(Reason.NO_MEMORY, 'a member of the group was lost')
_DEADLINE = not_run(Reason.DEADLINE, 'memory for the group was not free')

AcquireGrant = Callable[
    [PlacementRequest, Endpoint, float],
    Awaitable[Result[Grant, Failure]],
]
ReleaseGrant = Callable[[Endpoint, str, AttemptOutcome], None]


@dataclass(frozen=True, kw_only=True, slots=True)
class GroupInputs:
    """Dependencies of ``EngineGroups``.

    ``acquire_grant`` waits for a grant at an endpoint's home until a deadline
    on trio's clock; ``release_grant`` gives a grant back.
    """

    node: Node
    reports: EngineManagementCalls
    acquire_grant: AcquireGrant
    release_grant: ReleaseGrant
    randomness: Random


@dataclass(kw_only=True, slots=True)
class _Reservation:
    """Memory reserved on one engine for a group.

    ``renewed_at`` is ``None`` until the engine has accepted the reservation.
    """

    endpoint: Endpoint
    hold_id: str
    grant_id: str
    renewed_at: float | None = None


@dataclass(frozen=True, kw_only=True, slots=True)
class _Plan:
    """The engines of a group in the global order, and their memory.

    Each part takes ``part_tokens``; the leader takes ``leader_tokens``.
    """

    members: tuple[Endpoint, ...]
    leader: Endpoint
    part_tokens: int
    leader_tokens: int


@dataclass(kw_only=True, slots=True)
class _Group:
    """State of one group, from its first reservation to its release.

    ``lost`` is set once a reservation is gone or can't be renewed.
    """

    request: PlacementRequest
    serial: int
    reservations: list[_Reservation] = field(default_factory=list)
    lost: bool = False
    renewal_scope: trio.CancelScope = field(default_factory=trio.CancelScope)


class EngineGroups:
    """Acquires, renews and releases groups of engines.

    Renewals need ``run`` as a background task.
    """

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
        """Renew the reservations of all groups until cancelled."""
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
        """Return a placement on a group once all its memory is reserved.

        Fails with ``NO_MEMORY`` if the request is larger than all endpoints
        together, and with ``DEADLINE`` if their memory was not free in time.
        """
        deadline_at = trio.current_time() + request.deadline_in_seconds
        backoff_seconds = _INITIAL_BACKOFF_SECONDS
        while trio.current_time() < deadline_at:
            plan = _make_plan(
                request,
                endpoints,
                capacity_tokens,
                self._inputs.randomness,
            )
            if plan is None:
                return Error(_TOO_LARGE)
            placed = await self._gather(request, plan, deadline_at)
            if placed.is_ok():
                return placed
            telemetry.count('retries', reason=placed.error.reason)
            jitter = self._inputs.randomness.uniform(*_JITTER)
            remaining_seconds = deadline_at - trio.current_time()
            await trio.sleep(
                max(0, min(backoff_seconds * jitter, remaining_seconds))
            )
            backoff_seconds = min(backoff_seconds * 2, _MAX_BACKOFF_SECONDS)
        return Error(_DEADLINE)

    def release(self, placement: Placement) -> None:
        """Release the reservations of a placement, if it is on a group."""
        group = self._groups.pop(placement.grant_id, None)
        if group is not None:
            self._release_all(group)

    async def _gather(
        self,
        request: PlacementRequest,
        plan: _Plan,
        deadline_at: float,
    ) -> Result[Placement, Failure]:
        self._serial += 1
        group = _Group(request=request, serial=self._serial)
        if self._nursery is not None:
            self._nursery.start_soon(self._renew_until_lost, group)
        gather_until = min(
            deadline_at, trio.current_time() + GATHER_TIMEOUT_SECONDS
        )
        placed: Result[Placement, Failure] = Error(_DEADLINE)
        try:
            with trio.move_on_at(gather_until):
                placed = await self._acquire_all(group, plan, gather_until)
        finally:
            if placed.is_error():
                self._release_all(group)
        if placed.is_ok():
            self._groups[placed.ok.grant_id] = group
        return placed

    async def _acquire_all(
        self,
        group: _Group,
        plan: _Plan,
        gather_until: float,
    ) -> Result[Placement, Failure]:
        for member in plan.members:
            for _ in range(_RESERVATIONS_PER_MEMBER):
                failure = await self._acquire_reservation(
                    group,
                    member,
                    plan.part_tokens,
                    gather_until,
                )
                if failure is not None:
                    return Error(failure)
        leader_request = replace(
            group.request,
            prompt_tokens=plan.leader_tokens - group.request.max_tokens,
            prefix_blocks=(),
        )
        grant = await self._inputs.acquire_grant(
            leader_request, plan.leader, gather_until
        )
        if grant.is_ok() and group.lost:
            self._inputs.release_grant(
                plan.leader,
                grant.ok.grant_id,
                AttemptOutcome.CANCELLED,
            )
            return Error(_LOST)
        return grant.map(lambda granted: _make_placement(group, plan, granted))

    async def _acquire_reservation(
        self,
        group: _Group,
        member: Endpoint,
        tokens: int,
        gather_until: float,
    ) -> Failure | None:
        hold_id = _make_hold_id(group)
        part_request = replace(
            group.request,
            request_key=hold_id,
            prompt_tokens=tokens,
            max_tokens=0,
            prefix_blocks=(),
            memory_only=True,
        )
        grant = await self._inputs.acquire_grant(
            part_request, member, gather_until
        )
        if grant.is_error():
            return grant.error
        reservation = _Reservation(
            endpoint=member,
            hold_id=hold_id,
            grant_id=grant.ok.grant_id,
        )
        group.reservations.append(reservation)
        return await self._reserve_at_engine(group, reservation, tokens)

    async def _reserve_at_engine(
        self,
        group: _Group,
        reservation: _Reservation,
        tokens: int,
    ) -> Failure | None:
        message = ReservationRequest(
            hold_id=reservation.hold_id,
            tokens=tokens,
            request_key=group.request.request_key,
            attempt=group.request.attempt,
            holder=self._inputs.node.name,
            incarnation=self._inputs.node.incarnation,
            expires_in_seconds=RESERVATION_SECONDS,
        )
        address = reservation.endpoint.address
        while not group.lost:
            sent_at = trio.current_time()
            outcome = await self._inputs.reports.reserve_memory(
                address, message
            )
            if outcome.is_ok():
                reservation.renewed_at = sent_at
                return None
            if outcome.error.reason is not Reason.NO_MEMORY:
                return outcome.error
            await trio.sleep(_REFUSAL_RETRY_SECONDS)
        return _LOST

    async def _renew_until_lost(self, group: _Group) -> None:
        with group.renewal_scope:
            while not group.lost:
                await trio.sleep(RENEWAL_INTERVAL_SECONDS)
                await self._renew_all(group)
        if group.lost:
            telemetry.count('groups_lost')
            self._release_all(group)

    async def _renew_all(self, group: _Group) -> None:
        async with trio.open_nursery() as nursery:
            for reservation in tuple(group.reservations):
                nursery.start_soon(self._renew, group, reservation)

    async def _renew(self, group: _Group, reservation: _Reservation) -> None:
        if reservation.renewed_at is None:
            return
        sent_at = trio.current_time()
        outcome = await self._inputs.reports.renew(
            reservation.endpoint.address,
            reservation.hold_id,
            RESERVATION_SECONDS,
        )
        if outcome.is_ok():
            reservation.renewed_at = sent_at
        elif outcome.error.reason is Reason.STREAM_UNKNOWN:
            group.lost = True
        elif sent_at - reservation.renewed_at >= RESERVATION_SECONDS:
            group.lost = True

    def _release_all(self, group: _Group) -> None:
        group.renewal_scope.cancel()
        reservations = tuple(group.reservations)
        group.reservations.clear()
        for reservation in reservations:
            self._inputs.release_grant(
                reservation.endpoint,
                reservation.grant_id,
                AttemptOutcome.CANCELLED,
            )
            if self._nursery is not None:
                self._nursery.start_soon(
                    self._inputs.reports.release_reservation,
                    reservation.endpoint.address,
                    reservation.hold_id,
                )


def _make_hold_id(group: _Group) -> str:
    request = group.request
    name = f'{request.request_key}/{request.attempt}'
    digest = xxh64_hexdigest(name.encode())
    return f'{digest}-{group.serial}-{len(group.reservations)}'


def _make_plan(
    request: PlacementRequest,
    endpoints: list[Endpoint],
    capacity_tokens: int,
    randomness: Random,
) -> _Plan | None:
    total_tokens = request.prompt_tokens + request.max_tokens
    desired_size = math.ceil(
        total_tokens / (capacity_tokens * _TARGET_MEMORY_SHARE)
    )
    size = min(desired_size, len(endpoints))
    share_tokens = math.ceil(total_tokens / max(1, size))
    if size < 2 or share_tokens > capacity_tokens:
        return None
    members = sorted(
        randomness.sample(endpoints, size),
        key=lambda endpoint: endpoint.name,
    )
    part_tokens = math.ceil(share_tokens / _RESERVATIONS_PER_MEMBER)
    reserved_tokens = part_tokens * _RESERVATIONS_PER_MEMBER * (size - 1)
    return _Plan(
        members=tuple(members[:-1]),
        leader=members[-1],
        part_tokens=part_tokens,
        leader_tokens=max(
            request.max_tokens + 1, total_tokens - reserved_tokens
        ),
    )


def _make_placement(group: _Group, plan: _Plan, grant: Grant) -> Placement:
    return Placement(
        endpoint=plan.leader,
        grant_id=grant.grant_id,
        priority=grant.priority,
        group=tuple(
            GroupMember(
                endpoint=reservation.endpoint, hold_id=reservation.hold_id
            )
            for reservation in group.reservations
        ),
    )
