"""Decides from contacts with peers who is suspect and who is dead.

A silent peer is probed through others before it is held suspect. A suspect
that doesn't refute is held dead after a while. A connection that is refused
twice proves a dead process at once.
"""

from dataclasses import replace

import trio
from expression import Ok, Result

from limpetdrift import telemetry
from limpetdrift.coordination.evidence import Evidence
from limpetdrift.coordination.gossip import Gossip
from limpetdrift.coordination.peers import PeerCall, PeerRoutes
from limpetdrift.coordination.sampling import Sampler
from limpetdrift.protocol.gossip import (
    GossipMessage,
    MemberRecord,
    MemberState,
    ProbeOutcome,
    ProbeReply,
    ProbeRequest,
)
from limpetdrift.protocol.verdict import Failure, Reason
from limpetdrift.transport.messages import Address

SUSPECT_SECONDS = 3.0
RECHECK_SECONDS = 0.2
PROBE_TIMEOUT_SECONDS = 0.9
PROBING_PEERS = 3
PROBE_PATH = 'gossip-probe'


class FailureDetector:
    """The evidence of this node and the checks under way."""

    def __init__(
        self,
        *,
        gossip: Gossip,
        sampler: Sampler,
        call: PeerCall,
    ) -> None:
        self.evidence = Evidence()
        self._gossip = gossip
        self._sampler = sampler
        self._call = call
        self._concluding: set[str] = set()

    def register(self, peer_routes: PeerRoutes) -> None:
        """Offer the handler to peers."""
        peer_routes.add(PROBE_PATH, ProbeRequest, self._on_probe)

    async def check(self, record: MemberRecord) -> None:
        """Exchange with a peer and conclude from how it ended."""
        contact = await self._contact(record)
        if contact is ProbeOutcome.ANSWERED or record.name in self._concluding:
            return
        self._concluding.add(record.name)
        try:
            await self._conclude(record, contact)
        finally:
            self._concluding.discard(record.name)

    async def contact_unknown_address(self, address: Address) -> None:
        """Exchange with an address at which no live member is known."""
        for record in self._gossip.members.in_state(MemberState.DEAD):
            if record.node.peer_address == address:
                await self._contact(record)
                return
        answer = await self._gossip.exchange(address)
        contact = _read_contact(answer)
        self.evidence.note(str(address), contact, trio.current_time())

    def expire_suspects(self) -> list[MemberRecord]:
        """Hold overdue suspects dead; return those to check again instead.

        A suspect that answered this node meanwhile is checked again.
        """
        now = trio.current_time()
        answering: list[MemberRecord] = []
        for record in self._gossip.members.in_state(MemberState.SUSPECT):
            since = self._gossip.members.since(record.name)
            if now - since < SUSPECT_SECONDS:
                continue
            if self.evidence.answered_after(record.name, since):
                answering.append(record)
            else:
                self._hold(record, MemberState.DEAD)
        return answering

    def reset_after_pause(self) -> None:
        """Drop conclusions from silence while this node itself stood still."""
        telemetry.count('membership_pauses')
        self._gossip.members.reset_state_timers(trio.current_time())
        self.evidence.clear()

    async def _conclude(
        self, record: MemberRecord, contact: ProbeOutcome
    ) -> None:
        if contact is ProbeOutcome.REFUSED:
            await trio.sleep(RECHECK_SECONDS)
            if await self._contact(record) is ProbeOutcome.REFUSED:
                self._hold(record, MemberState.DEAD)
        elif not await self._is_reached_by_others(record):
            self._hold(record, MemberState.SUSPECT)

    async def _contact(self, record: MemberRecord) -> ProbeOutcome:
        answer = await self._gossip.exchange(
            record.node.peer_address,
            name=record.name,
        )
        contact = _read_contact(answer, record)
        self.evidence.note(record.name, contact, trio.current_time())
        return contact

    async def _is_reached_by_others(self, record: MemberRecord) -> bool:
        found: list[bool] = []
        helpers = [
            peer
            for peer in self._sampler.peers(PROBING_PEERS + 1)
            if peer.name != record.name
        ]
        async with trio.open_nursery() as nursery:
            for helper in helpers[:PROBING_PEERS]:
                nursery.start_soon(self._ask_probe, helper, record, found)
        return any(found)

    async def _ask_probe(
        self,
        helper: MemberRecord,
        record: MemberRecord,
        found: list[bool],
    ) -> None:
        answer = await self._call(
            helper.node.peer_address,
            PROBE_PATH,
            ProbeRequest(name=record.name, address=record.node.peer_address),
            ProbeReply,
            timeout_seconds=PROBE_TIMEOUT_SECONDS,
        )
        if answer.is_ok():
            found.append(answer.ok.contact is ProbeOutcome.ANSWERED)

    async def _on_probe(
        self,
        message: ProbeRequest,
    ) -> Result[ProbeReply, Failure]:
        answer = await self._gossip.exchange(message.address, name=message.name)
        same = answer.is_ok() and answer.ok.sender.name == message.name
        contact = ProbeOutcome.ANSWERED if same else ProbeOutcome.TIMED_OUT
        return Ok(ProbeReply(contact=contact))

    def _hold(self, checked: MemberRecord, state: MemberState) -> None:
        """Change the state that is held, unless the peer said more since."""
        record = self._gossip.members.table.find(checked.name)
        if record is None or record.version != checked.version:
            return
        if record.node.incarnation == checked.node.incarnation:
            telemetry.count('membership_verdicts', state=state)
            self._gossip.merge_records(members=(replace(record, state=state),))


def _read_contact(
    answer: Result[GossipMessage, Failure],
    record: MemberRecord | None = None,
) -> ProbeOutcome:
    if answer.is_error():
        refused = answer.error.reason is Reason.CONNECT_FAILED
        return ProbeOutcome.REFUSED if refused else ProbeOutcome.TIMED_OUT
    if record is None:
        return ProbeOutcome.ANSWERED
    sender = answer.ok.sender
    same = sender.name == record.name
    if same and sender.incarnation <= record.node.incarnation:
        return ProbeOutcome.ANSWERED
    # Another process has the address, so the one of the record is gone.
    return ProbeOutcome.REFUSED
