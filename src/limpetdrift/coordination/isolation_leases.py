"""Turns for suspects: one copy of a suspect runs at a time.

The home of a fingerprint, by rendezvous hashing over the live entries, gives
the turns. One that can't be reached is passed over for the next.
"""

from collections.abc import Callable
from dataclasses import dataclass

import trio
from expression import Ok, Result

from limpetdrift import telemetry
from limpetdrift.coordination.peers import PeerCall, PeerRoutes
from limpetdrift.coordination.rendezvous import choose_by_hash
from limpetdrift.protocol.node import Node
from limpetdrift.protocol.quarantine import (
    TURN_PATH,
    IsolationRequest,
    TurnReply,
)
from limpetdrift.protocol.verdict import Failure

TURN_TIMEOUT_SECONDS = 0.5
ASK_AGAIN_SECONDS = 0.1
_HOMES_ASKED = 3
_ENDINGS_QUEUED = 1_000


@dataclass(frozen=True, kw_only=True, slots=True)
class _Turn:
    holder: str
    until: float


class IsolationLeases:
    """Takes turns for this entry's requests, and gives those it is home of."""

    def __init__(
        self,
        *,
        node: Node,
        live_entries: Callable[[], tuple[Node, ...]],
        call: PeerCall,
    ) -> None:
        self._node = node
        self._live_entries = live_entries
        self._call = call
        self._given: dict[str, _Turn] = {}
        self._own: set[str] = set()
        channel = trio.open_memory_channel[str](_ENDINGS_QUEUED)
        self._endings = channel[0]
        self._ended = channel[1]

    def register(self, peer_routes: PeerRoutes) -> None:
        """Give turns to peers."""
        peer_routes.add(TURN_PATH, IsolationRequest, self.handle)

    async def try_acquire(self, fingerprint: str, seconds: float) -> bool:
        """Ask once for a turn; without one, return after a pause."""
        if fingerprint not in self._own:
            self._own.add(fingerprint)
            granted = False
            try:
                granted = await self._ask(fingerprint, seconds)
            finally:
                if not granted:
                    self._own.discard(fingerprint)
            if granted:
                return True
        await trio.sleep(ASK_AGAIN_SECONDS)
        return False

    def end_later(self, fingerprint: str) -> None:
        """End a turn of this entry; the home learns it in the background."""
        self._own.discard(fingerprint)
        try:
            self._endings.send_nowait(fingerprint)
        except trio.WouldBlock:
            telemetry.count('turns_left_to_expire')

    async def run(self) -> None:
        """Tell homes of turns that ended, until cancelled."""
        async for fingerprint in self._ended:
            await self._ask(fingerprint, 0)

    async def handle(
        self,
        message: IsolationRequest,
    ) -> Result[TurnReply, Failure]:
        """Give a turn where nobody that lives has it, or take one back."""
        now = trio.current_time()
        turn = self._given.get(message.fingerprint)
        live = {entry.name for entry in self._live_entries()}
        held = turn is not None and turn.until > now and turn.holder in live
        if held and turn is not None and turn.holder != message.holder:
            return Ok(TurnReply(granted=False))
        self._given.pop(message.fingerprint, None)
        if message.seconds > 0:
            self._given[message.fingerprint] = _Turn(
                holder=message.holder,
                until=now + message.seconds,
            )
        return Ok(TurnReply(granted=True))

    async def _ask(self, fingerprint: str, seconds: float) -> bool:
        """Ask the home; where none can be reached, nobody else can either."""
        message = IsolationRequest(
            fingerprint=fingerprint,
            holder=self._node.name,
            seconds=seconds,
        )
        entries = {entry.name: entry for entry in self._live_entries()}
        for name in choose_by_hash(
            f'turn/{fingerprint}', entries, _HOMES_ASKED
        ):
            if name == self._node.name:
                reply = await self.handle(message)
            else:
                reply = await self._call(
                    entries[name].peer_address,
                    TURN_PATH,
                    message,
                    TurnReply,
                    timeout_seconds=TURN_TIMEOUT_SECONDS,
                )
            if reply.is_ok():
                return reply.ok.granted
        return True
