"""What entries that plan alone tell each other of their work."""

from collections import Counter
from dataclasses import dataclass

from expression import Ok, Result

from limpetdrift.protocol.node import Node
from limpetdrift.protocol.plans import Acknowledgement
from limpetdrift.protocol.verdict import Failure
from limpetdrift.protocol.work import CallerRequest, DispatchPlan, EngineReport


@dataclass(frozen=True, kw_only=True, slots=True)
class EntryLoad:
    """The streams and the memory that an entry has at each engine."""

    entry: str
    streams: dict[str, int]
    memory_tokens: dict[str, int]


class EntryLoads:
    """The work of one entry, and the latest digests of its peers."""

    def __init__(self, *, node: Node) -> None:
        self._node = node
        self._streams: Counter[str] = Counter()
        self._tokens: Counter[str] = Counter()
        self._heard: dict[str, EntryLoad] = {}

    def count(
        self, work: CallerRequest, placement: DispatchPlan, change: int
    ) -> None:
        """Count a request that begins (1) or ends (-1)."""
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
        """Keep what a peer says."""
        self._heard[digest.entry] = digest
        return Ok(Acknowledgement())

    def estimate_report(self, name: str) -> EngineReport:
        """Return what all say of one engine, as it would say it itself."""
        known = (self.snapshot(), *self._heard.values())
        return EngineReport(
            active=sum(each.streams.get(name, 0) for each in known),
            queued=0,
            memory_tokens=sum(
                each.memory_tokens.get(name, 0) for each in known
            ),
        )
