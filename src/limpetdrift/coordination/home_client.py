"""Calls to the homes of endpoints, in this process or at peers."""

from collections.abc import Callable
from dataclasses import dataclass, replace
from typing import TypeVar

import trio
from expression import Error, Result

from limpetdrift import telemetry
from limpetdrift.coordination.home import HomeServer, grant_id_of
from limpetdrift.coordination.home_assignment import HomeTable
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
from limpetdrift.protocol.verdict import Failure, Reason, not_run
from limpetdrift.state.prefixes import sample_depths

Reply = TypeVar('Reply')

PROBE_SECONDS = 0.25
POLL_SECONDS = 2.0
_POLL_GRACE_SECONDS = 0.5
_RELEASE_SECONDS = 1.0
_RELEASES_QUEUED = 10_000
_RELEASE_TASKS = 8
_DEADLINE = not_run(Reason.DEADLINE, 'no endpoint was free in time')
UNREACHABLE = not_run(Reason.OWNER_UNREACHABLE, 'no home answered')
_NO_ANSWER_REASONS = frozenset(
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
    """What the placer is given by the rest of the entry."""

    node: Node
    live_entries: Callable[[], tuple[Node, ...]]
    endpoints: Callable[[], tuple[Endpoint, ...]]
    call: PeerCall


class HomeClient:
    """Asks homes for bids and grants; ``run`` gives grants back."""

    def __init__(self, *, inputs: PlacerInputs, home: HomeServer) -> None:
        self._inputs = inputs
        self._home = home
        self._homes = HomeTable()
        channel = trio.open_memory_channel[GrantRelease](_RELEASES_QUEUED)
        self._releases = channel[0]
        self._pending = channel[1]

    async def run(self) -> None:
        """Tell homes of releases until cancelled."""
        async with trio.open_nursery() as nursery:
            for _ in range(_RELEASE_TASKS):
                nursery.start_soon(self._send_releases)

    async def collect_bids(
        self,
        request: PlacementRequest,
        candidates: list[Endpoint],
        endpoints: list[Endpoint],
    ) -> list[Bid]:
        """Ask the homes of the candidates for bids; those that answered."""
        self._refresh_homes()
        samples = _samples_of(request.prefix_blocks)
        request = replace(request, prefix_blocks=())
        bids: list[Bid] = []

        async def collect(asked: list[Endpoint]) -> None:
            message = BidRequest(
                endpoints=tuple(asked),
                request=request,
                samples=samples,
            )
            bid = await self._ask(
                asked[0],
                PlacementPath.BID,
                message,
                Bid,
                PROBE_SECONDS,
            )
            if bid.is_ok():
                bids.append(bid.ok)

        async with trio.open_nursery() as nursery:
            for asked in self._by_home(candidates, endpoints):
                nursery.start_soon(collect, asked)
        return bids

    async def await_grant(
        self,
        request: PlacementRequest,
        endpoint: Endpoint,
        deadline_at: float,
    ) -> Result[Grant, Failure]:
        """Wait at the endpoint's home until granted or the deadline."""
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
        """Give a grant or a place back in the background."""
        message = GrantRelease(
            endpoint=endpoint,
            grant_id=grant_id,
            outcome=outcome,
        )
        try:
            self._releases.send_nowait(message)
        except trio.WouldBlock:
            telemetry.count('releases_dropped')

    def _by_home(
        self,
        candidates: list[Endpoint],
        endpoints: list[Endpoint],
    ) -> list[list[Endpoint]]:
        """Group candidates by their homes, with what else is at those."""
        if not self._home.policy.bids_for_all_homed:
            return [[each] for each in candidates]
        eligible = {each.name for each in endpoints}
        homes = {
            home.name: home
            for home in map(self._homes.find, candidates)
            if home is not None
        }
        groups = [
            [
                each
                for each in self._homes.endpoints_of(home)
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
        known = False
        while True:
            left = deadline_at - trio.current_time()
            if left <= 0:
                return Error(_DEADLINE)
            seconds = min(POLL_SECONDS, left)
            if known:
                outcome = await self._poll_again(request, endpoint, seconds)
            else:
                outcome = await self._poll_first(
                    replace(request, deadline_in_seconds=left),
                    endpoint,
                    seconds,
                )
            if outcome.is_error() or outcome.ok.granted:
                return outcome
            known = outcome.ok.known

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
        return await self._ask(
            endpoint,
            PlacementPath.GRANT,
            message,
            Grant,
            seconds + _POLL_GRACE_SECONDS,
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
        return await self._ask(
            endpoint,
            PlacementPath.POLL,
            message,
            Grant,
            seconds + _POLL_GRACE_SECONDS,
        )

    async def _ask(
        self,
        endpoint: Endpoint,
        path: str,
        message: object,
        reply: type[Reply],
        timeout_seconds: float,
    ) -> Result[Reply, Failure]:
        self._refresh_homes()
        home = self._homes.find(endpoint)
        if home is None or home.name == self._inputs.node.name:
            return await self._home.handlers[path](message)
        outcome = await self._inputs.call(
            home.peer_address,
            path,
            message,
            reply,
            timeout_seconds=timeout_seconds,
        )
        if outcome.is_error() and outcome.error.reason in _NO_ANSWER_REASONS:
            return Error(UNREACHABLE)
        return outcome

    async def _send_releases(self) -> None:
        async for message in self._pending:
            outcome = await self._ask(
                message.endpoint,
                PlacementPath.RELEASE,
                message,
                ReleaseReply,
                _RELEASE_SECONDS,
            )
            if outcome.is_error():
                telemetry.count('releases_lost')

    def _refresh_homes(self) -> None:
        self._homes.refresh(
            self._inputs.live_entries(),
            self._inputs.endpoints(),
        )


def _samples_of(blocks: tuple[int, ...]) -> PrefixSamples:
    depths = sample_depths(len(blocks))
    return PrefixSamples(
        depths=depths,
        blocks=tuple(blocks[depth - 1] for depth in depths),
    )
