"""Calls the homes of endpoints, in this process or at peers."""

from collections.abc import Callable
from dataclasses import dataclass, replace
from typing import TypeVar

import trio
from expression import Error, Result

from limpetdrift import telemetry
from limpetdrift.coordination.homes.home import HomeServer, grant_id_of
from limpetdrift.coordination.homes.home_assignment import HomeTable
from limpetdrift.coordination.peers import PeerCall
from limpetdrift.protocol.grants import (
    Bid,
    BidRequest,
    Grant,
    GrantPoll,
    GrantRelease,
    GrantRequest,
    PlacementPath,
    PrefixSamples,
    ReleaseReply,
)
from limpetdrift.protocol.node import Endpoint, Node
from limpetdrift.protocol.placement import AttemptOutcome, PlacementRequest
from limpetdrift.state.prefixes import sample_depths
from limpetdrift.verdict import Failure, Reason, not_run

Reply = TypeVar('Reply')

BID_TIMEOUT_SECONDS = 0.25
# Long-poll timeout of one poll for a grant.
LONG_POLL_SECONDS = 2.0
# Added to the long-poll timeout, so that the home's answer still arrives.
_LONG_POLL_GRACE_SECONDS = 0.5
_RELEASE_TIMEOUT_SECONDS = 1.0
_MAX_QUEUED_RELEASES = 10_000
_RELEASE_TASKS = 8
_DEADLINE = not_run(Reason.DEADLINE, 'no endpoint was free in time')
UNREACHABLE = not_run(Reason.OWNER_UNREACHABLE, 'no home answered')
_UNREACHABLE_REASONS = frozenset(
    (
        Reason.CONNECT_FAILED,
        Reason.CONNECT_TIMEOUT,
        Reason.CONNECTION_BROKEN,
        Reason.IDLE_TIMEOUT,
        Reason.TIMEOUT,
        Reason.BAD_ANSWER,
    ),
)


@dataclass(frozen=True, kw_only=True, slots=True)
class PlacerInputs:
    """Dependencies of the placer and of ``HomeClient``."""

    node: Node
    live_entries: Callable[[], tuple[Node, ...]]
    endpoints: Callable[[], tuple[Endpoint, ...]]
    call: PeerCall


class HomeClient:
    """Requests bids and grants from homes; ``run`` sends the releases."""

    def __init__(self, *, inputs: PlacerInputs, home: HomeServer) -> None:
        self._inputs = inputs
        self._home = home
        self._home_table = HomeTable()
        channel = trio.open_memory_channel[GrantRelease](_MAX_QUEUED_RELEASES)
        self._releases = channel[0]
        self._pending = channel[1]

    async def run(self) -> None:
        """Send queued releases to the homes until cancelled."""
        async with trio.open_nursery() as nursery:
            for _ in range(_RELEASE_TASKS):
                nursery.start_soon(self._send_releases)

    async def collect_bids(
        self,
        request: PlacementRequest,
        candidates: list[Endpoint],
        endpoints: list[Endpoint],
    ) -> list[Bid]:
        """Return the bids of the candidates' homes that answered in time."""
        self._refresh_homes()
        samples = _sample_prefixes(request.prefix_blocks)
        request = replace(request, prefix_blocks=())
        bids: list[Bid] = []

        async def collect(batch: list[Endpoint]) -> None:
            message = BidRequest(
                endpoints=tuple(batch),
                request=request,
                samples=samples,
            )
            bid = await self._call_home(
                batch[0],
                PlacementPath.BID,
                message,
                Bid,
                BID_TIMEOUT_SECONDS,
            )
            if bid.is_ok():
                bids.append(bid.ok)

        async with trio.open_nursery() as nursery:
            for batch in self._batch_by_home(candidates, endpoints):
                nursery.start_soon(collect, batch)
        return bids

    async def await_grant(
        self,
        request: PlacementRequest,
        endpoint: Endpoint,
        deadline_at: float,
    ) -> Result[Grant, Failure]:
        """Poll the endpoint's home until a grant, a failure or the deadline.

        ``deadline_at`` is a time of trio's clock. On failure or cancellation,
        the ticket is released in the background.
        """
        outcome: Result[Grant, Failure] = Error(_DEADLINE)
        try:
            outcome = await self._poll(request, endpoint, deadline_at)
        finally:
            if outcome.is_error():
                self.release_later(
                    endpoint,
                    grant_id_of(request),
                    AttemptOutcome.CANCELLED,
                )
        return outcome

    def release_later(
        self,
        endpoint: Endpoint,
        grant_id: str,
        outcome: AttemptOutcome,
    ) -> None:
        """Queue the release of a ticket, to be sent in the background.

        If the queue of releases is full, the ticket is left to expire.
        """
        message = GrantRelease(
            endpoint=endpoint,
            grant_id=grant_id,
            outcome=outcome,
        )
        try:
            self._releases.send_nowait(message)
        except trio.WouldBlock:
            telemetry.count('releases_dropped')

    def _batch_by_home(
        self,
        candidates: list[Endpoint],
        endpoints: list[Endpoint],
    ) -> list[list[Endpoint]]:
        """Return the endpoints to ask for, one batch for each call to a home.

        If the policy bids for all homed endpoints, a batch holds all the
        eligible endpoints of one candidate's home.
        """
        if not self._home.policy.bids_for_all_homed:
            return [[each] for each in candidates]
        eligible = {each.name for each in endpoints}
        homes = {
            home.name: home
            for home in map(self._home_table.find, candidates)
            if home is not None
        }
        groups = [
            [
                each
                for each in self._home_table.endpoints_of(home)
                if each.name in eligible
            ]
            for home in homes.values()
        ]
        return [group for group in groups if group] or [candidates]

    async def _poll(
        self,
        request: PlacementRequest,
        endpoint: Endpoint,
        deadline_at: float,
    ) -> Result[Grant, Failure]:
        is_ticket_known = False
        while True:
            remaining_seconds = deadline_at - trio.current_time()
            if remaining_seconds <= 0:
                return Error(_DEADLINE)
            seconds = min(LONG_POLL_SECONDS, remaining_seconds)
            if is_ticket_known:
                outcome = await self._poll_again(request, endpoint, seconds)
            else:
                outcome = await self._poll_first(
                    replace(request, deadline_in_seconds=remaining_seconds),
                    endpoint,
                    seconds,
                )
            if outcome.is_error() or outcome.ok.granted:
                return outcome
            is_ticket_known = outcome.ok.known

    async def _poll_first(
        self,
        request: PlacementRequest,
        endpoint: Endpoint,
        seconds: float,
    ) -> Result[Grant, Failure]:
        message = GrantRequest(
            endpoint=endpoint,
            request=request,
            owner=self._inputs.node.name,
            incarnation=self._inputs.node.incarnation,
            poll_seconds=seconds,
        )
        return await self._call_home(
            endpoint,
            PlacementPath.GRANT,
            message,
            Grant,
            seconds + _LONG_POLL_GRACE_SECONDS,
        )

    async def _poll_again(
        self,
        request: PlacementRequest,
        endpoint: Endpoint,
        seconds: float,
    ) -> Result[Grant, Failure]:
        message = GrantPoll(
            endpoint=endpoint,
            grant_id=grant_id_of(request),
            poll_seconds=seconds,
        )
        return await self._call_home(
            endpoint,
            PlacementPath.POLL,
            message,
            Grant,
            seconds + _LONG_POLL_GRACE_SECONDS,
        )

    async def _call_home(
        self,
        endpoint: Endpoint,
        path: str,
        message: object,
        reply: type[Reply],
        timeout_seconds: float,
    ) -> Result[Reply, Failure]:
        self._refresh_homes()
        home = self._home_table.find(endpoint)
        if home is None or home.name == self._inputs.node.name:
            return await self._home.handlers[path](message)
        outcome = await self._inputs.call(
            home.peer_address,
            path,
            message,
            reply,
            timeout_seconds=timeout_seconds,
        )
        if outcome.is_error() and outcome.error.reason in _UNREACHABLE_REASONS:
            return Error(UNREACHABLE)
        return outcome

    async def _send_releases(self) -> None:
        async for message in self._pending:
            outcome = await self._call_home(
                message.endpoint,
                PlacementPath.RELEASE,
                message,
                ReleaseReply,
                _RELEASE_TIMEOUT_SECONDS,
            )
            if outcome.is_error():
                telemetry.count('releases_lost')

    def _refresh_homes(self) -> None:
        self._home_table.refresh(
            self._inputs.live_entries(),
            self._inputs.endpoints(),
        )


def _sample_prefixes(blocks: tuple[int, ...]) -> PrefixSamples:
    depths = sample_depths(len(blocks))
    return PrefixSamples(
        depths=depths,
        blocks=tuple(blocks[depth - 1] for depth in depths),
    )
