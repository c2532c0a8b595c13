"""Frees engine memory that has no live owner.

The home of each endpoint lists what the engine holds and asks the owners.
What an owner disclaims is freed at once: an abandoned stream, a finished one
that nobody will read, an export, a hold, or anything of its earlier
incarnation. What has an owner that does not answer is freed only after the
allocation's expiry. Nothing here needs the table service, and two homes that
reconcile one engine at once do no harm, since freeing is idempotent.

An owner must claim an attempt before it sends the call that allocates, and
set the allocation's expiry no earlier than its own deadline. A live owner's
allocation is then never freed, even while the owner is cut off from the home.
"""

from collections import defaultdict
from collections.abc import Callable, Iterable
from dataclasses import dataclass

import trio
from expression import Error, Ok, Result

from limpetdrift import telemetry
from limpetdrift.coordination.home_assignment import home_of
from limpetdrift.coordination.peers import PeerCall, PeerRoutes
from limpetdrift.protocol.engine_management import (
    Allocation,
    EngineManagementCalls,
)
from limpetdrift.protocol.grants import (
    AttemptName,
    OwnershipReply,
    OwnershipRequest,
    PlacementPath,
)
from limpetdrift.protocol.node import Endpoint, Node, Role
from limpetdrift.protocol.verdict import Failure, Reason, not_run

ROUND_SECONDS = 3.0
RECLAIM_WITHIN_SECONDS = 30.0
_MIN_AGE_SECONDS = 2.0
_ASK_SECONDS = 1.0
_UNANSWERED_SECONDS = 20.0

Owns = Callable[[str, int, int], bool]


@dataclass(frozen=True, kw_only=True, slots=True)
class ReclaimInputs:
    """What reclaim is given by the rest of the process.

    ``owns`` answers for this process: request key, attempt, incarnation.
    """

    node: Node
    live_entries: Callable[[], tuple[Node, ...]]
    endpoints: Callable[[], tuple[Endpoint, ...]]
    call: PeerCall
    reports: EngineManagementCalls
    owns: Owns


class Reclaimer:
    """Reconciles the memory of the engines that this entry is home of."""

    def __init__(self, *, inputs: ReclaimInputs) -> None:
        self._inputs = inputs
        self._unanswered_since: dict[tuple[str, str], float] = {}

    def register(self, routes: PeerRoutes) -> None:
        """Answer peers that ask what this process owns."""
        routes.add(PlacementPath.OWNS, OwnershipRequest, self.answer)

    async def answer(
        self, message: OwnershipRequest
    ) -> Result[OwnershipReply, Failure]:
        """Say which attempts this process still wants."""
        owned = tuple(
            self._inputs.owns(each.request_key, each.attempt, each.incarnation)
            for each in message.attempts
        )
        return Ok(OwnershipReply(owned=owned))

    async def run(self) -> None:
        """Reconcile all homed engines in rounds until cancelled."""
        while True:
            await trio.sleep(ROUND_SECONDS)
            await self.reconcile_all()

    async def reconcile_all(self) -> None:
        """Do one round; engines and owners that hang delay no others."""
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
        self._forget_gone(endpoint, listed.ok)
        by_holder: dict[str, list[Allocation]] = defaultdict(list)
        for allocation in listed.ok:
            if allocation.age_seconds >= _MIN_AGE_SECONDS:
                by_holder[allocation.holder].append(allocation)
        async with trio.open_nursery() as nursery:
            for holder, allocations in by_holder.items():
                nursery.start_soon(
                    self._settle,
                    endpoint,
                    holder,
                    allocations,
                )

    async def _settle(
        self,
        endpoint: Endpoint,
        holder: str,
        allocations: list[Allocation],
    ) -> None:
        reply = await self._ask_owner(holder, allocations)
        if reply.is_error():
            unwanted = [
                allocation
                for allocation in allocations
                if self._is_overdue(endpoint, allocation)
            ]
            await self._free(endpoint, unwanted, 'expired')
            return
        answers = zip(allocations, reply.ok.owned, strict=True)
        unwanted = [allocation for allocation, owned in answers if not owned]
        for allocation in allocations:
            self._unanswered_since.pop((endpoint.name, allocation.id), None)
        await self._free(endpoint, unwanted, 'disowned')

    async def _ask_owner(
        self,
        holder: str,
        allocations: Iterable[Allocation],
    ) -> Result[OwnershipReply, Failure]:
        message = OwnershipRequest(
            attempts=tuple(_name_of(each) for each in allocations),
        )
        if holder == self._inputs.node.name:
            return await self.answer(message)
        for entry in self._inputs.live_entries():
            if entry.name == holder:
                return await self._inputs.call(
                    entry.peer_address,
                    PlacementPath.OWNS,
                    message,
                    OwnershipReply,
                    timeout_seconds=_ASK_SECONDS,
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
        return now - since >= _UNANSWERED_SECONDS

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

    def _forget_gone(
        self,
        endpoint: Endpoint,
        allocations: Iterable[Allocation],
    ) -> None:
        present = {(endpoint.name, each.id) for each in allocations}
        gone = [
            key
            for key in self._unanswered_since
            if key[0] == endpoint.name and key not in present
        ]
        for key in gone:
            self._unanswered_since.pop(key)


def _name_of(allocation: Allocation) -> AttemptName:
    return AttemptName(
        request_key=allocation.request_key,
        attempt=allocation.attempt,
        incarnation=allocation.incarnation,
    )
