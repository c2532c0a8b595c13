"""Finds an endpoint for one attempt of a request.

The placer asks the homes of a few candidate endpoints for bids, accepts the
best, and waits at that home for the grant. Homes improve the placement but
are not required: if none answers, the attempt goes to an endpoint directly,
and the engine's own checks decide.
"""

from collections.abc import Container
from dataclasses import dataclass, replace

import trio
from expression import Error, Ok, Result

from limpetdrift import telemetry
from limpetdrift.coordination.homes.candidate_selection import ProbeState
from limpetdrift.coordination.homes.engine_groups import (
    EngineGroups,
    GroupInputs,
)
from limpetdrift.coordination.homes.home import HomeServer
from limpetdrift.coordination.homes.home_client import (
    UNREACHABLE,
    HomeClient,
    PlacerInputs,
)
from limpetdrift.protocol.grants import (
    Bid,
    Grant,
)
from limpetdrift.protocol.node import Endpoint, Role
from limpetdrift.protocol.placement import (
    AttemptOutcome,
    Placement,
    PlacementRequest,
)
from limpetdrift.verdict import (
    Failure,
    Reason,
    not_run,
)

# Number of rounds of bids before a placement fails.
_MAX_ROUNDS = 3
_RETRY_AFTER_SECONDS = 1.0
_LEAVING = not_run(Reason.ENDPOINT_LEAVING, 'it began to leave meanwhile')


@dataclass(frozen=True, kw_only=True, slots=True)
class _FailedRound:
    """The failure of one round, and the endpoints that later rounds exclude."""

    failure: Failure
    tried: tuple[str, ...]


class Placer:
    """Places attempts and releases their grants.

    ``run`` sends the releases; without it, grants end only by expiry.
    """

    def __init__(
        self,
        *,
        inputs: PlacerInputs,
        home: HomeServer,
        state: ProbeState,
    ) -> None:
        self._inputs = inputs
        self._home = home
        self._state = state
        self._home_client = HomeClient(inputs=inputs, home=home)
        self._groups = EngineGroups(
            inputs=GroupInputs(
                node=inputs.node,
                reports=home.reports,
                acquire_grant=self._home_client.await_grant,
                release_grant=self._home_client.release_later,
                randomness=state.randomness,
            ),
        )

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
            remaining_seconds = deadline_at - trio.current_time()
            request = replace(request, deadline_in_seconds=remaining_seconds)
            outcome = await self._place_once(request, endpoints, deadline_at)
            if outcome.is_ok() and self._accepts_work(outcome.ok):
                return Ok(outcome.ok)
            if outcome.is_ok():
                outcome = self._reject_leaving(outcome.ok)
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

    def release(self, placement: Placement, outcome: AttemptOutcome) -> None:
        """Release a placement; the home is notified in the background."""
        self._groups.release(placement)
        if placement.grant_id:
            self._home_client.release_later(
                placement.endpoint,
                placement.grant_id,
                outcome,
            )

    async def run(
        self,
        *,
        task_status: trio.TaskStatus = trio.TASK_STATUS_IGNORED,
    ) -> None:
        """Send releases and renew groups until cancelled."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._home_client.run)
            await nursery.start(self._groups.run)
            task_status.started()

    def _accepts_work(self, placement: Placement) -> bool:
        """Return whether none of its endpoints began to leave meanwhile."""
        names = {member.endpoint.name for member in placement.group}
        names.add(placement.endpoint.name)
        return not any(
            endpoint.leaving and endpoint.name in names
            for endpoint in self._inputs.endpoints()
        )

    def _reject_leaving(
        self, placement: Placement
    ) -> Result[Placement, _FailedRound]:
        self.release(placement, AttemptOutcome.CANCELLED)
        name = placement.endpoint.name
        return Error(_FailedRound(failure=_LEAVING, tried=(name,)))

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
    ) -> Result[Placement, _FailedRound]:
        policy = self._home.policy
        candidates = policy.select_candidates(request, endpoints, self._state)
        bids = await self._home_client.collect_bids(
            request,
            candidates,
            endpoints,
        )
        if not bids:
            names = tuple(each.name for each in candidates)
            return Error(_FailedRound(failure=UNREACHABLE, tried=names))
        fitting = [bid for bid in bids if bid.fits]
        if not fitting:
            return await self._place_group(request, endpoints, bids)
        endpoint = policy.choose_bid(request, fitting).endpoint
        outcome = await self._home_client.await_grant(
            request, endpoint, deadline_at
        )
        if outcome.is_error():
            return Error(
                _FailedRound(failure=outcome.error, tried=(endpoint.name,))
            )
        self._state.prefix_endpoints.note(request.prefix_blocks, endpoint.name)
        return Ok(_make_placement(endpoint, outcome.ok))

    async def _place_group(
        self,
        request: PlacementRequest,
        endpoints: list[Endpoint],
        bids: list[Bid],
    ) -> Result[Placement, _FailedRound]:
        names = tuple(bid.endpoint.name for bid in bids)
        outcome = await self._groups.place(
            request,
            endpoints,
            min(bid.memory_tokens for bid in bids),
        )
        return outcome.map_error(
            lambda failure: _FailedRound(failure=failure, tried=names),
        )

    def _place_directly(
        self,
        request: PlacementRequest,
        endpoints: list[Endpoint],
    ) -> Placement:
        telemetry.count('placements_without_home')
        candidates = self._home.policy.select_candidates(
            request,
            endpoints,
            self._state,
        )
        return Placement(
            endpoint=candidates[0],
            grant_id='',
            priority=self._home.policy.priority(request),
        )


def _make_placement(endpoint: Endpoint, grant: Grant) -> Placement:
    return Placement(
        endpoint=endpoint,
        grant_id=grant.grant_id,
        priority=grant.priority,
        expected_cached_tokens=grant.cached_tokens,
    )
