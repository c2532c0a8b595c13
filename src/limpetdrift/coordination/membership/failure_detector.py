"""Detects suspect and dead peers from the outcomes of contacts with them.

A peer that does not answer is probed through other peers before it becomes
suspect. A suspect that does not refute this in ``SUSPICION_TIMEOUT_SECONDS``
is declared dead. Two refused connections in a row prove at once that the
process is dead.
"""

from dataclasses import replace

import trio
from expression import Ok, Result

from limpetdrift import telemetry
from limpetdrift.coordination.membership.evidence import Evidence
from limpetdrift.coordination.membership.gossip import Gossip
from limpetdrift.coordination.membership.sampling import Sampler
from limpetdrift.coordination.peers import PeerCall, PeerRoutes
from limpetdrift.protocol.gossip import (
    GossipMessage,
    MemberRecord,
    MemberState,
    ProbeOutcome,
    ProbeReply,
    ProbeRequest,
)
from limpetdrift.supervision import run_contained
from limpetdrift.transport.messages import Address
from limpetdrift.verdict import Failure, Reason

SUSPICION_TIMEOUT_SECONDS = 3.0
# Interval between a refused connection and the retry that confirms it.
REFUSAL_RETRY_SECONDS = 0.2
# Leaves the peer that probes time for its own exchange
# (EXCHANGE_TIMEOUT_SECONDS).
INDIRECT_PROBE_TIMEOUT_SECONDS = 0.9
INDIRECT_PROBE_PEERS = 3
PROBE_PATH = 'gossip-probe'


class FailureDetector:
    """Checks peers and changes the states of their records.

    ``evidence`` holds the outcomes of this node's contacts.
    """

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
        self._verifying: set[str] = set()

    def register(self, peer_routes: PeerRoutes) -> None:
        """Register the handler of indirect probes."""
        peer_routes.add(PROBE_PATH, ProbeRequest, self._on_probe)

    async def check(self, record: MemberRecord) -> None:
        """Exchange with a peer; mark it suspect or dead if it fails.

        A peer whose failure is already being verified is only contacted.
        """
        outcome = await self._contact(record)
        if outcome is ProbeOutcome.ANSWERED or record.name in self._verifying:
            return
        self._verifying.add(record.name)
        try:
            await self._verify_failure(record, outcome)
        finally:
            self._verifying.discard(record.name)

    async def contact_unknown_address(self, address: Address) -> None:
        """Exchange with an address at which no live member is known.

        The outcome is recorded for the dead member of that address, if there
        is one, else for the address itself.
        """
        for record in self._gossip.members.in_state(MemberState.DEAD):
            if record.node.peer_address == address:
                await self._contact(record)
                return
        answer = await self._gossip.exchange(address)
        outcome = _classify_contact(answer)
        self.evidence.record(str(address), outcome, trio.current_time())

    def expire_suspects(self) -> list[MemberRecord]:
        """Declare suspects dead whose time to refute is over.

        Return the suspects that have answered this node in the meantime;
        these are to be checked again instead.
        """
        now = trio.current_time()
        answered: list[MemberRecord] = []
        for record in self._gossip.members.in_state(MemberState.SUSPECT):
            since = self._gossip.members.since(record.name)
            if now - since < SUSPICION_TIMEOUT_SECONDS:
                continue
            if self.evidence.answered_after(record.name, since):
                answered.append(record)
            else:
                self._set_state(record, MemberState.DEAD)
        return answered

    def reset_after_pause(self) -> None:
        """Restart suspicion timeouts after a pause of this process.

        Peers had no chance to answer or refute during the pause.
        """
        telemetry.count('membership_pauses')
        self._gossip.members.reset_state_timers(trio.current_time())
        self.evidence.clear()

    async def _verify_failure(
        self, record: MemberRecord, outcome: ProbeOutcome
    ) -> None:
        if outcome is ProbeOutcome.REFUSED:
            await trio.sleep(REFUSAL_RETRY_SECONDS)
            if await self._contact(record) is ProbeOutcome.REFUSED:
                self._set_state(record, MemberState.DEAD)
        elif not await self._is_reachable_indirectly(record):
            self._set_state(record, MemberState.SUSPECT)

    async def _contact(self, record: MemberRecord) -> ProbeOutcome:
        answer = await self._gossip.exchange(
            record.node.peer_address,
            name=record.name,
        )
        outcome = _classify_contact(answer, record)
        self.evidence.record(record.name, outcome, trio.current_time())
        return outcome

    async def _is_reachable_indirectly(self, record: MemberRecord) -> bool:
        results: list[bool] = []
        helpers = [
            peer
            for peer in self._sampler.peers(INDIRECT_PROBE_PEERS + 1)
            if peer.name != record.name
        ]
        async with trio.open_nursery() as nursery:
            for helper in helpers[:INDIRECT_PROBE_PEERS]:
                nursery.start_soon(
                    run_contained,
                    'gossip-probe',
                    self._request_probe,
                    helper,
                    record,
                    results,
                )
        return any(results)

    async def _request_probe(
        self,
        helper: MemberRecord,
        record: MemberRecord,
        results: list[bool],
    ) -> None:
        answer = await self._call(
            helper.node.peer_address,
            PROBE_PATH,
            ProbeRequest(name=record.name, address=record.node.peer_address),
            ProbeReply,
            timeout_seconds=INDIRECT_PROBE_TIMEOUT_SECONDS,
        )
        if answer.is_ok():
            results.append(answer.ok.contact is ProbeOutcome.ANSWERED)

    async def _on_probe(
        self,
        message: ProbeRequest,
    ) -> Result[ProbeReply, Failure]:
        answer = await self._gossip.exchange(message.address, name=message.name)
        is_same_node = answer.is_ok() and answer.ok.sender.name == message.name
        outcome = (
            ProbeOutcome.ANSWERED if is_same_node else ProbeOutcome.TIMED_OUT
        )
        return Ok(ProbeReply(contact=outcome))

    def _set_state(self, checked: MemberRecord, state: MemberState) -> None:
        """Change the state of a record, unless it has changed meanwhile."""
        record = self._gossip.members.table.find(checked.name)
        if record is None or record.version != checked.version:
            return
        if record.node.incarnation == checked.node.incarnation:
            telemetry.count('membership_verdicts', state=state)
            self._gossip.merge_records(members=(replace(record, state=state),))


def _classify_contact(
    answer: Result[GossipMessage, Failure],
    record: MemberRecord | None = None,
) -> ProbeOutcome:
    if answer.is_error():
        refused = answer.error.reason is Reason.CONNECT_FAILED
        return ProbeOutcome.REFUSED if refused else ProbeOutcome.TIMED_OUT
    if record is None:
        return ProbeOutcome.ANSWERED
    sender = answer.ok.sender
    is_same_node = sender.name == record.name
    if is_same_node and sender.incarnation <= record.node.incarnation:
        return ProbeOutcome.ANSWERED
    # Another process uses the address, so the recorded process is dead.
    return ProbeOutcome.REFUSED
