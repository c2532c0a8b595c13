"""Finds an endpoint for one attempt of a request.

The placer asks the homes of a few candidate endpoints for bids, takes the
best, and waits at that home for the grant. Homes are hints: where none
answers, the attempt goes to an endpoint directly, and the engine's own checks
decide.
"""

from collections.abc import Callable, Container
from dataclasses import dataclass, replace
from typing import TypeVar

import trio
from expression import Error, Ok, Result

from limpetdrift import telemetry
from limpetdrift.coordination.home import Home, grant_id_of
from limpetdrift.coordination.homes import home_of
from limpetdrift.coordination.peers import PeerCall
from limpetdrift.coordination.policies import ProbeState
from limpetdrift.coordination.promptgroups import GroupInputs, PromptGroups
from limpetdrift.protocol.grants import (
    Bid,
    BidRequest,
    Grant,
    GrantRelease,
    GrantRequest,
    PlacementPath,
    Released,
)
from limpetdrift.protocol.node import Endpoint, Node, Role
from limpetdrift.protocol.placement import (
    Placement,
    PlacementRequest,
    Release,
)
from limpetdrift.protocol.verdict import (
    Failure,
    Reason,
    not_run,
)

Reply = TypeVar('Reply')

PROBE_SECONDS = 0.25
POLL_SECONDS = 2.0
_POLL_GRACE_SECONDS = 0.5
_RELEASE_SECONDS = 1.0
_RELEASES_QUEUED = 10_000
_RELEASE_TASKS = 8
_MAX_ROUNDS = 3
_RETRY_AFTER_SECONDS = 1.0
_DEADLINE = not_run(Reason.DEADLINE, 'no endpoint was free in time')
_UNREACHABLE = not_run(Reason.OWNER_UNREACHABLE, 'no home answered')
_NO_ANSWER_REASONS = frozenset(
    (
        Reason.CONNECT_FAILED,
        Reason.CONNECT_TIMEOUT,
        Reason.CONNECTION_BROKEN,
        Reason.SILENT,
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


@dataclass(frozen=True, kw_only=True, slots=True)
class _Miss:
    """One round that placed nothing, and the endpoints not to ask again."""

    failure: Failure
    tried: tuple[str, ...]


class Placer:
    """Places attempts and gives their grants back.

    ``run`` sends the releases; without it grants come back only by expiry.
    """

    def __init__(
        self,
        *,
        inputs: PlacerInputs,
        home: Home,
        state: ProbeState,
    ) -> None:
        self._inputs = inputs
        self._home = home
        self._state = state
        self._groups = PromptGroups(
            inputs=GroupInputs(
                node=inputs.node,
                reports=home.reports,
                take=self._await_grant,
                give=self._release_later,
                random=state.random,
            ),
        )
        channel = trio.open_memory_channel[GrantRelease](_RELEASES_QUEUED)
        self._releases = channel[0]
        self._pending = channel[1]

    async def place(
        self,
        request: PlacementRequest,
    ) -> Result[Placement, Failure]:
        """Return where to run the attempt, once it may start there.

        Every failure is ``NOT_RUN``, since placing runs nothing.
        """
        deadline_at = trio.current_time() + request.deadline_in_seconds
        refusal = not_run(
            Reason.NO_ENDPOINT,
            request.model,
            retry_after_seconds=_RETRY_AFTER_SECONDS,
        )
        tried = set(request.excluded)
        for _ in range(_MAX_ROUNDS):
            endpoints = self._eligible(request.model, tried)
            if not endpoints:
                break
            left = deadline_at - trio.current_time()
            request = replace(request, deadline_in_seconds=left)
            outcome = await self._place_once(request, endpoints, deadline_at)
            if outcome.is_ok():
                return Ok(outcome.ok)
            refusal = outcome.error.failure
            if refusal.reason is Reason.DEADLINE:
                break
            telemetry.count('retries', reason=refusal.reason)
            tried.update(outcome.error.tried)
        endpoints = self._eligible(request.model, request.excluded)
        if endpoints and refusal.reason is Reason.OWNER_UNREACHABLE:
            return Ok(self._place_directly(request, endpoints))
        telemetry.count('refusals', reason=refusal.reason)
        return Error(refusal)

    def release(self, placement: Placement, outcome: Release) -> None:
        """Give a grant back; the home is told in the background."""
        self._groups.release(placement)
        if placement.grant_id:
            self._release_later(
                placement.endpoint,
                placement.grant_id,
                outcome,
            )

    async def run(
        self,
        *,
        task_status: trio.TaskStatus = trio.TASK_STATUS_IGNORED,
    ) -> None:
        """Tell homes of releases until cancelled."""
        async with trio.open_nursery() as nursery:
            for _ in range(_RELEASE_TASKS):
                nursery.start_soon(self._send_releases)
            await nursery.start(self._groups.run)
            task_status.started()

    def _eligible(self, model: str, tried: Container[str]) -> list[Endpoint]:
        return [
            endpoint
            for endpoint in self._inputs.endpoints()
            if endpoint.role is Role.ENGINE
            and endpoint.model == model
            and not endpoint.leaving
            and endpoint.name not in tried
        ]

    async def _place_once(
        self,
        request: PlacementRequest,
        endpoints: list[Endpoint],
        deadline_at: float,
    ) -> Result[Placement, _Miss]:
        policy = self._home.policy
        candidates = policy.candidates(request, endpoints, self._state)
        bids = await self._collect_bids(request, candidates)
        if not bids:
            names = tuple(each.name for each in candidates)
            return Error(_Miss(failure=_UNREACHABLE, tried=names))
        fitting = [bid for bid in bids if bid.fits]
        if not fitting:
            return await self._place_group(request, endpoints, bids)
        endpoint = policy.choose(request, fitting, self._state).endpoint
        outcome = await self._await_grant(request, endpoint, deadline_at)
        if outcome.is_error():
            return Error(_Miss(failure=outcome.error, tried=(endpoint.name,)))
        self._state.places.note(request.prefix_blocks, endpoint.name)
        return Ok(_placement(endpoint, outcome.ok))

    async def _place_group(
        self,
        request: PlacementRequest,
        endpoints: list[Endpoint],
        bids: list[Bid],
    ) -> Result[Placement, _Miss]:
        names = tuple(bid.endpoint.name for bid in bids)
        outcome = await self._groups.place(
            request,
            endpoints,
            min(bid.memory_tokens for bid in bids),
        )
        return outcome.map_error(
            lambda failure: _Miss(failure=failure, tried=names),
        )

    async def _collect_bids(
        self,
        request: PlacementRequest,
        candidates: list[Endpoint],
    ) -> list[Bid]:
        bids: list[Bid] = []

        async def collect(endpoint: Endpoint) -> None:
            message = BidRequest(endpoint=endpoint, request=request)
            bid = await self._ask(
                endpoint,
                PlacementPath.BID,
                message,
                Bid,
                PROBE_SECONDS,
            )
            if bid.is_ok():
                bids.append(bid.ok)

        async with trio.open_nursery() as nursery:
            for candidate in candidates:
                nursery.start_soon(collect, candidate)
        return bids

    async def _await_grant(
        self,
        request: PlacementRequest,
        endpoint: Endpoint,
        deadline_at: float,
    ) -> Result[Grant, Failure]:
        outcome: Result[Grant, Failure] = Error(_DEADLINE)
        try:
            outcome = await self._poll(request, endpoint, deadline_at)
        finally:
            if outcome.is_error():
                self._release_later(
                    endpoint,
                    grant_id_of(request),
                    Release.CANCELLED,
                )
        return outcome

    async def _poll(
        self,
        request: PlacementRequest,
        endpoint: Endpoint,
        deadline_at: float,
    ) -> Result[Grant, Failure]:
        while True:
            left = deadline_at - trio.current_time()
            if left <= 0:
                return Error(_DEADLINE)
            seconds = min(POLL_SECONDS, left)
            message = GrantRequest(
                endpoint=endpoint,
                request=replace(request, deadline_in_seconds=left),
                owner=self._inputs.node.name,
                incarnation=self._inputs.node.incarnation,
                poll_seconds=seconds,
            )
            outcome = await self._ask(
                endpoint,
                PlacementPath.GRANT,
                message,
                Grant,
                seconds + _POLL_GRACE_SECONDS,
            )
            if outcome.is_error() or outcome.ok.granted:
                return outcome

    async def _ask(
        self,
        endpoint: Endpoint,
        path: str,
        message: object,
        reply: type[Reply],
        timeout_seconds: float,
    ) -> Result[Reply, Failure]:
        home = home_of(endpoint, self._inputs.live_entries())
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
            return Error(_UNREACHABLE)
        return outcome

    def _place_directly(
        self,
        request: PlacementRequest,
        endpoints: list[Endpoint],
    ) -> Placement:
        telemetry.count('placements_without_home')
        candidates = self._home.policy.candidates(
            request,
            endpoints,
            self._state,
        )
        return Placement(
            endpoint=candidates[0],
            grant_id='',
            priority=self._home.policy.priority(request),
        )

    def _release_later(
        self,
        endpoint: Endpoint,
        grant_id: str,
        outcome: Release,
    ) -> None:
        message = GrantRelease(
            endpoint=endpoint,
            grant_id=grant_id,
            outcome=outcome,
        )
        try:
            self._releases.send_nowait(message)
        except trio.WouldBlock:
            telemetry.count('releases_dropped')

    async def _send_releases(self) -> None:
        async for message in self._pending:
            outcome = await self._ask(
                message.endpoint,
                PlacementPath.RELEASE,
                message,
                Released,
                _RELEASE_SECONDS,
            )
            if outcome.is_error():
                telemetry.count('releases_lost')


def _placement(endpoint: Endpoint, grant: Grant) -> Placement:
    return Placement(
        endpoint=endpoint,
        grant_id=grant.grant_id,
        priority=grant.priority,
        expected_cached_tokens=grant.cached_tokens,
    )
