"""Isolation leases: at most one copy of a suspect request runs at a time.

A lease is granted by the home of the suspect's fingerprint, which is chosen
by rendezvous hashing over the live entries. If the home can't be reached,
the next entry in hash order takes its place.
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
    ISOLATION_PATH,
    IsolationReply,
    IsolationRequest,
)
from limpetdrift.supervision import run_contained
from limpetdrift.verdict import Failure

# Timeout of one call to a home.
LEASE_CALL_TIMEOUT_SECONDS = 0.5
# Retry interval of an entry that was refused a lease.
LEASE_RETRY_INTERVAL_SECONDS = 0.1
_MAX_HOMES_TRIED = 3
_MAX_QUEUED_RELEASES = 1_000


@dataclass(frozen=True, kw_only=True, slots=True)
class _Lease:
    holder: str
    expires_at: float


class IsolationLeases:
    """Acquires leases for this entry, and grants those that it is home of."""

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
        self._granted: dict[str, _Lease] = {}
        self._held: set[str] = set()
        channel = trio.open_memory_channel[str](_MAX_QUEUED_RELEASES)
        self._release_sender = channel[0]
        self._release_receiver = channel[1]

    def register(self, peer_routes: PeerRoutes) -> None:
        """Register the handler that grants leases to peers."""
        peer_routes.add(ISOLATION_PATH, IsolationRequest, self.handle)

    async def try_acquire(self, fingerprint: str, seconds: float) -> bool:
        """Request a lease once; return whether it was granted.

        A refusal is returned after ``LEASE_RETRY_INTERVAL_SECONDS``, so that
        callers may try again at once.
        """
        if fingerprint not in self._held:
            self._held.add(fingerprint)
            granted = None
            try:
                granted = await self._call_home(fingerprint, seconds)
            finally:
                if granted is None:
                    # The home may have granted it before the call was given up.
                    self.release_later(fingerprint)
                elif not granted:
                    self._held.discard(fingerprint)
            if granted:
                return True
        await trio.sleep(LEASE_RETRY_INTERVAL_SECONDS)
        return False

    def release_later(self, fingerprint: str) -> None:
        """Release a lease; its home is notified in the background."""
        self._held.discard(fingerprint)
        try:
            self._release_sender.send_nowait(fingerprint)
        except trio.WouldBlock:
            telemetry.count('turns_left_to_expire')

    async def run(self) -> None:
        """Notify homes of released leases until cancelled."""
        async for fingerprint in self._release_receiver:
            # One that fails is left to expire, and delays no other.
            await run_contained(
                'lease-release', self._call_home, fingerprint, 0
            )

    async def handle(
        self,
        message: IsolationRequest,
    ) -> Result[IsolationReply, Failure]:
        """Grant a lease unless a live entry holds it; zero seconds release it.

        A lease whose holder has died is free.
        """
        now = trio.current_time()
        lease = self._granted.get(message.fingerprint)
        live = {entry.name for entry in self._live_entries()}
        held = (
            lease is not None
            and lease.expires_at > now
            and lease.holder in live
        )
        if held and lease is not None and lease.holder != message.holder:
            return Ok(IsolationReply(granted=False))
        self._granted.pop(message.fingerprint, None)
        if message.seconds > 0:
            self._granted[message.fingerprint] = _Lease(
                holder=message.holder,
                expires_at=now + message.seconds,
            )
        return Ok(IsolationReply(granted=True))

    async def _call_home(self, fingerprint: str, seconds: float) -> bool:
        """Send a request for a lease, or its release, to its home.

        If no home can be reached the lease is granted, since no other entry
        can get it from a home either.
        """
        message = IsolationRequest(
            fingerprint=fingerprint,
            holder=self._node.name,
            seconds=seconds,
        )
        entries = {entry.name: entry for entry in self._live_entries()}
        for name in choose_by_hash(
            f'turn/{fingerprint}', entries, _MAX_HOMES_TRIED
        ):
            if name == self._node.name:
                reply = await self.handle(message)
            else:
                reply = await self._call(
                    entries[name].peer_address,
                    ISOLATION_PATH,
                    message,
                    IsolationReply,
                    timeout_seconds=LEASE_CALL_TIMEOUT_SECONDS,
                )
            if reply.is_ok():
                return reply.ok.granted
        return True
