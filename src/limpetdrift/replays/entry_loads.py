"""Tracks the load that entries report to each other under policy ``digests``.

Each entry plans alone, by its own load and the latest digests of its peers.
"""

from collections import Counter
from dataclasses import dataclass

from expression import Ok, Result

from limpetdrift.protocol.node import Node
from limpetdrift.protocol.plans import Acknowledgement
from limpetdrift.protocol.work import CallerRequest, DispatchPlan, EngineReport
from limpetdrift.verdict import Failure


@dataclass(frozen=True, kw_only=True, slots=True)
class EntryLoad:
    """A digest: the streams and the memory of an entry at each engine."""

    entry: str
    streams: dict[str, int]
    memory_tokens: dict[str, int]


class EntryLoads:
    """The load of one entry, and the latest digests of its peers."""

    def __init__(self, *, node: Node) -> None:
        self._node = node
        self._streams: Counter[str] = Counter()
        self._tokens: Counter[str] = Counter()
        self._peers: dict[str, EntryLoad] = {}

    def record_change(
        self, work: CallerRequest, placement: DispatchPlan, change: int
    ) -> None:
        """Record a request that begins (``change`` is 1) or ends (-1)."""
        name = placement.endpoint.name
        self._streams[name] += change
        self._tokens[name] += change * work.size.memory_tokens

    def snapshot(self) -> EntryLoad:
        """Return the digest of this entry."""
        return EntryLoad(
            entry=self._node.name,
            streams=dict(+self._streams),
            memory_tokens=dict(+self._tokens),
        )

    async def receive(
        self, digest: EntryLoad
    ) -> Result[Acknowledgement, Failure]:
        """Replace the digest of a peer."""
        self._peers[digest.entry] = digest
        return Ok(Acknowledgement())

    def estimate_report(self, name: str) -> EngineReport:
        """Estimate an engine's report from the loads of all entries."""
        loads = (self.snapshot(), *self._peers.values())
        return EngineReport(
            active=sum(each.streams.get(name, 0) for each in loads),
            queued=0,
            memory_tokens=sum(
                each.memory_tokens.get(name, 0) for each in loads
            ),
        )
