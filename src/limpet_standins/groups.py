"""Checks the members of groups, over which a stream's memory is spread."""

import trio

from limpet_standins.engine_core import EngineCore
from limpet_standins.engine_messages import HoldState, Member
from limpet_standins.stream_run import StreamRun
from limpetdrift.protocol.codec import decode
from limpetdrift.transport.messages import Request, parse_address

# Interval between checks of the members, and timeout of one round of checks.
MEMBER_CHECK_SECONDS = 1.0
_HOLD = 'hold'
_OK = 200


class Groups:
    """Asks the members of groups whether their reservations still exist.

    The stream of a group fails once one of them is gone.
    """

    def __init__(self, *, core: EngineCore) -> None:
        self._core = core
        self._watched_runs: list[StreamRun] = []

    async def tokens(self, group: tuple[Member, ...]) -> int | None:
        """Return the tokens that the members have reserved in total.

        Return None if a reservation is gone or its engine can't be reached.
        """
        total = 0
        for member in group:
            tokens = await self._reserved_tokens(member)
            if tokens is None:
                return None
            total += tokens
        return total

    def watch(self, run: StreamRun) -> None:
        """Check the members of a stream's group from now on, if it has one."""
        if run.start.group:
            self._watched_runs.append(run)

    async def check_members(self) -> None:
        """Check the groups of all streams that run, periodically, for ever."""
        while True:
            await trio.sleep(MEMBER_CHECK_SECONDS)
            await self._core.controls.wait_while_frozen()
            self._watched_runs = [
                run for run in self._watched_runs if not run.ended
            ]
            with trio.move_on_after(MEMBER_CHECK_SECONDS):
                await self._check_all()

    async def _check_all(self) -> None:
        async with trio.open_nursery() as nursery:
            for run in self._watched_runs:
                nursery.start_soon(self._check, run)

    async def _check(self, run: StreamRun) -> None:
        if await self.tokens(run.start.group) is None:
            run.end('member-lost')

    async def _reserved_tokens(self, member: Member) -> int | None:
        if member.address == self._core.settings.address:
            reservation = self._core.allocations.find(_HOLD, member.hold_id)
            return None if reservation is None else reservation.footprint.tokens
        answer = await self._core.fetch(
            parse_address(member.address),
            Request(method='GET', path=f'/v1/holds/{member.hold_id}'),
        )
        if answer.is_error() or answer.ok.status != _OK:
            return None
        state = decode(answer.ok.body, HoldState)
        return state.map(_tokens_of).default_value(None)


def _tokens_of(state: HoldState) -> int:
    return state.tokens
