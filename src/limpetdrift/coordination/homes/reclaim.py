"""Frees engine memory that has no live owner.

The home of each endpoint reads the engine's list of allocations and asks
their owners about them. An allocation that its owner disowns is freed at
once: an abandoned stream, a finished one that nobody will read, an export, a
reservation, or any allocation of an earlier incarnation of the owner. An
allocation whose owner does not answer is freed only once it has expired.
Reclaiming needs no table service. Two homes may reconcile one engine at the
same time, since freeing is idempotent.

An owner must record an attempt as its own before it sends the call that
allocates memory, and must set the allocation's expiry no earlier than its own
deadline. Then a live owner's allocation is never freed, even while the owner
can't be reached from the home.
"""

from collections import defaultdict
from collections.abc import Callable, Iterable
from dataclasses import dataclass

import trio
from expression import Error, Ok, Result

from limpetdrift import telemetry
from limpetdrift.coordination.homes.home_assignment import home_of
from limpetdrift.coordination.peers import PeerCall, PeerRoutes
from limpetdrift.protocol.engine_management import (
    Allocation,
    EngineManagementCalls,
)
from limpetdrift.protocol.grants import (
    AttemptId,
    OwnershipReply,
    OwnershipRequest,
    PlacementPath,
)
from limpetdrift.protocol.node import Endpoint, Node, Role
from limpetdrift.verdict import Failure, Reason, not_run

RECONCILE_INTERVAL_SECONDS = 3.0
# Upper bound of the time until memory without a live owner is freed, counted
# from the end of all faults.
RECLAIM_WITHIN_SECONDS = 30.0
# Younger allocations are left to a later round.
_MIN_AGE_SECONDS = 2.0
_OWNER_TIMEOUT_SECONDS = 1.0
# Expiry of an allocation that has none of its own, counted from the first
# round in which its owner did not answer.
_UNANSWERED_EXPIRY_SECONDS = 20.0

OwnsAttempt = Callable[[str, int, int], bool]


@dataclass(frozen=True, kw_only=True, slots=True)
class ReclaimInputs:
    """Dependencies of ``Reclaimer``.

    ``owns`` takes a request key, an attempt and an incarnation, and returns
    whether this process owns the attempt.
    """

    node: Node
    live_entries: Callable[[], tuple[Node, ...]]
    endpoints: Callable[[], tuple[Endpoint, ...]]
    call: PeerCall
    reports: EngineManagementCalls
    owns: OwnsAttempt


class Reclaimer:
    """Reconciles the memory of the engines that this entry is home of."""

    def __init__(self, *, inputs: ReclaimInputs) -> None:
        self._inputs = inputs
        self._unanswered_since: dict[tuple[str, str], float] = {}

    def register(self, routes: PeerRoutes) -> None:
        """Register the handler of ownership requests from peers."""
        routes.add(PlacementPath.OWNS, OwnershipRequest, self.report_ownership)

    async def report_ownership(
        self, message: OwnershipRequest
    ) -> Result[OwnershipReply, Failure]:
        """Return for each attempt whether this process still owns it."""
        owned = tuple(
            self._inputs.owns(each.request_key, each.attempt, each.incarnation)
            for each in message.attempts
        )
        return Ok(OwnershipReply(owned=owned))

    async def run(self) -> None:
        """Reconcile all homed engines in rounds until cancelled."""
        while True:
            await trio.sleep(RECONCILE_INTERVAL_SECONDS)
            await self.reconcile_all()

    async def reconcile_all(self) -> None:
        """Reconcile all homed engines once, concurrently.

        An engine or owner that hangs does not delay the others.
        """
        async with trio.open_nursery() as nursery:
            for endpoint in self._homed():
                nursery.start_soon(self._reconcile, endpoint)

    def _homed(self) -> list[Endpoint]:
        entries = self._inputs.live_entries()
        name = self._inputs.node.name
        engines = [
            endpoint
            for endpoint in self._inputs.endpoints()
            if endpoint.role is Role.ENGINE
        ]
        homes = ((each, home_of(each, entries)) for each in engines)
        return [
            endpoint
            for endpoint, home in homes
            if home is None or home.name == name
        ]

    async def _reconcile(self, endpoint: Endpoint) -> None:
        listed = await self._inputs.reports.allocations(endpoint.address)
        if listed.is_error():
            telemetry.count('reclaim_skipped', reason=listed.error.reason)
            return
        self._forget_freed(endpoint, listed.ok)
        by_holder: dict[str, list[Allocation]] = defaultdict(list)
        for allocation in listed.ok:
            if allocation.age_seconds >= _MIN_AGE_SECONDS:
                by_holder[allocation.holder].append(allocation)
        async with trio.open_nursery() as nursery:
            for holder, allocations in by_holder.items():
                nursery.start_soon(
                    self._reconcile_holder,
                    endpoint,
                    holder,
                    allocations,
                )

    async def _reconcile_holder(
        self,
        endpoint: Endpoint,
        holder: str,
        allocations: list[Allocation],
    ) -> None:
        reply = await self._request_ownership(holder, allocations)
        if reply.is_error():
            ownerless = [
                allocation
                for allocation in allocations
                if self._is_overdue(endpoint, allocation)
            ]
            await self._free(endpoint, ownerless, 'expired')
            return
        answers = zip(allocations, reply.ok.owned, strict=True)
        ownerless = [allocation for allocation, owned in answers if not owned]
        for allocation in allocations:
            self._unanswered_since.pop((endpoint.name, allocation.id), None)
        await self._free(endpoint, ownerless, 'disowned')

    async def _request_ownership(
        self,
        holder: str,
        allocations: Iterable[Allocation],
    ) -> Result[OwnershipReply, Failure]:
        message = OwnershipRequest(
            attempts=tuple(_attempt_id_of(each) for each in allocations),
        )
        if holder == self._inputs.node.name:
            return await self.report_ownership(message)
        for entry in self._inputs.live_entries():
            if entry.name == holder:
                return await self._inputs.call(
                    entry.peer_address,
                    PlacementPath.OWNS,
                    message,
                    OwnershipReply,
                    timeout_seconds=_OWNER_TIMEOUT_SECONDS,
                )
        return Error(not_run(Reason.OWNER_UNREACHABLE, holder))

    def _is_overdue(self, endpoint: Endpoint, allocation: Allocation) -> bool:
        if allocation.expires_in_seconds is not None:
            return allocation.expires_in_seconds <= 0
        now = trio.current_time()
        since = self._unanswered_since.setdefault(
            (endpoint.name, allocation.id),
            now,
        )
        return now - since >= _UNANSWERED_EXPIRY_SECONDS

    async def _free(
        self,
        endpoint: Endpoint,
        allocations: list[Allocation],
        cause: str,
    ) -> None:
        for allocation in allocations:
            freed = await self._inputs.reports.delete_allocation(
                endpoint.address,
                allocation,
            )
            if freed.is_ok():
                telemetry.count('reclaimed', kind=allocation.kind, cause=cause)

    def _forget_freed(
        self,
        endpoint: Endpoint,
        allocations: Iterable[Allocation],
    ) -> None:
        present = {(endpoint.name, each.id) for each in allocations}
        freed_keys = [
            key
            for key in self._unanswered_since
            if key[0] == endpoint.name and key not in present
        ]
        for key in freed_keys:
            self._unanswered_since.pop(key)


def _attempt_id_of(allocation: Allocation) -> AttemptId:
    return AttemptId(
        request_key=allocation.request_key,
        attempt=allocation.attempt,
        incarnation=allocation.incarnation,
    )
