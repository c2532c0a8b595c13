"""Placement by one entry alone: the endpoint with the least work from here.

It needs no peer, so it serves where homes can't be reached.
"""

from collections import defaultdict
from collections.abc import Callable

from expression import Error, Ok, Result

from limpetdrift.protocol.node import Endpoint, Role
from limpetdrift.protocol.placement import (
    Placement,
    PlacementRequest,
    Release,
)
from limpetdrift.protocol.verdict import Failure, Reason, not_run

RETRY_AFTER_SECONDS = 1.0


class DirectPlacer:
    """Counts the tokens that this entry has sent to each engine."""

    def __init__(self, *, endpoints: Callable[[], tuple[Endpoint, ...]]):
        self._endpoints = endpoints
        self._tokens: dict[str, int] = defaultdict(int)
        self._grants: dict[str, int] = {}

    async def place(
        self,
        request: PlacementRequest,
    ) -> Result[Placement, Failure]:
        """Choose the engine with the fewest outstanding tokens."""
        candidates = [
            endpoint
            for endpoint in self._endpoints()
            if _serves(endpoint, request)
        ]
        if not candidates:
            return Error(
                not_run(
                    Reason.NO_ENDPOINT,
                    request.model,
                    retry_after_seconds=RETRY_AFTER_SECONDS,
                ),
            )
        chosen = min(candidates, key=lambda each: self._tokens[each.name])
        tokens = request.prompt_tokens + request.max_tokens
        grant_id = f'{request.request_key}.{request.attempt}'
        self._grants[grant_id] = tokens
        self._tokens[chosen.name] += tokens
        return Ok(
            Placement(
                endpoint=chosen,
                grant_id=grant_id,
                priority=request.urgency,
            ),
        )

    def release(self, placement: Placement, ending: Release) -> None:
        """Give back what a placement took."""
        tokens = self._grants.pop(placement.grant_id, 0)
        self._tokens[placement.endpoint.name] -= tokens


def _serves(endpoint: Endpoint, request: PlacementRequest) -> bool:
    if endpoint.role is not Role.ENGINE or endpoint.leaving:
        return False
    if endpoint.name in request.excluded:
        return False
    return endpoint.model == request.model
