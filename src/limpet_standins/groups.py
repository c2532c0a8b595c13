"""Streams whose memory lies in parts on several engines."""

import trio

from limpet_standins.engine_core import EngineCore
from limpet_standins.engine_messages import HoldState, Member
from limpet_standins.stream_run import StreamRun
from limpetdrift.protocol.codec import decode
from limpetdrift.transport.messages import Request, parse_address

WATCH_SECONDS = 1.0
_HOLD = 'hold'
_OK = 200


class Groups:
    """Asks the members of a group whether they still hold their part."""

    def __init__(self, *, core: EngineCore) -> None:
        self._core = core
        self._watched: list[StreamRun] = []

    async def tokens(self, group: tuple[Member, ...]) -> int | None:
        """Return what the members hold; None when one holds nothing."""
        total = 0
        for member in group:
            held = await self._held(member)
            if held is None:
                return None
            total += held
        return total

    def watch(self, run: StreamRun) -> None:
        """Fail the stream once a member is gone."""
        if run.start.group:
            self._watched.append(run)

    async def check_members(self) -> None:
        """Ask all members once a second, for ever."""
        while True:
            await trio.sleep(WATCH_SECONDS)
            await self._core.controls.wait_while_frozen()
            self._watched = [run for run in self._watched if not run.ended]
            with trio.move_on_after(WATCH_SECONDS):
                await self._check_all()

    async def _check_all(self) -> None:
        async with trio.open_nursery() as nursery:
            for run in self._watched:
                nursery.start_soon(self._check, run)

    async def _check(self, run: StreamRun) -> None:
        if await self.tokens(run.start.group) is None:
            run.end('member-lost')

    async def _held(self, member: Member) -> int | None:
        if member.address == self._core.settings.address:
            hold = self._core.allocations.find(_HOLD, member.hold_id)
            return None if hold is None else hold.footprint.tokens
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
