"""Holds the records of the members of a node's region.

Of two records of a member the later incarnation wins, then the later version,
then the more severe state. A member that has been dead for long is removed,
and a tombstone keeps its last incarnation and version. Records that aren't
newer than the tombstone are ignored.
"""

from collections import OrderedDict
from types import MappingProxyType

from limpetdrift.protocol.gossip import MemberRecord, MemberState, MemberVersion
from limpetdrift.state.records import RecordTable

# Retention period of dead members, after which a tombstone remains.
FORGET_SECONDS = 120.0
_MAX_TOMBSTONES = 4096
_SEVERITY = MappingProxyType(
    {
        MemberState.LIVE: 0,
        MemberState.LEAVING: 1,
        MemberState.SUSPECT: 2,
        MemberState.DEAD: 3,
    }
)


def _rank(record: MemberRecord) -> tuple[int, int, int]:
    return (
        record.node.incarnation,
        record.version,
        _SEVERITY[record.state],
    )


def join_members(held: MemberRecord, received: MemberRecord) -> MemberRecord:
    """Return the later of two records of one member."""
    return received if _rank(received) > _rank(held) else held


def _is_hashed(record: MemberRecord) -> bool:
    return record.state is not MemberState.DEAD


class MemberTable:
    """Member records, when each entered its state, and tombstones."""

    def __init__(self) -> None:
        self.table: RecordTable[MemberRecord] = RecordTable(
            join=join_members,
            hashed=_is_hashed,
        )
        self._state_since: dict[str, float] = {}
        self._tombstones: OrderedDict[str, tuple[int, int]] = OrderedDict()

    def __len__(self) -> int:
        return len(self._state_since)

    def merge(self, record: MemberRecord, now: float) -> bool:
        """Merge a record; return whether it changed the table.

        A record that isn't newer than the member's tombstone is ignored.
        """
        tombstone = self._tombstones.get(record.name)
        if tombstone and (record.node.incarnation, record.version) <= tombstone:
            return False
        if not self.table.merge(record):
            return False
        self._tombstones.pop(record.name, None)
        self._state_since[record.name] = now
        return True

    def since(self, name: str) -> float:
        """Return when the member entered its present state."""
        return self._state_since[name]

    def reset_state_timers(self, now: float) -> None:
        """Count each member's time in its state from ``now`` on."""
        self._state_since = dict.fromkeys(self._state_since, now)

    def forget_dead(self, now: float) -> None:
        """Replace members that have been dead for long by tombstones."""
        for record in self.in_state(MemberState.DEAD):
            if now - self._state_since[record.name] >= FORGET_SECONDS:
                self._forget(record)

    def in_state(self, *states: MemberState) -> tuple[MemberRecord, ...]:
        """Return the records that are in any of the states."""
        return tuple(
            record for record in self.table.records() if record.state in states
        )

    def refutation_threshold_of(self, name: str) -> MemberVersion | None:
        """Return the version that a member must exceed to be considered live.

        Return ``None`` if it is considered live or has no record.
        """
        record = self.table.find(name)
        if record is None:
            return None
        return self.refutation_threshold(
            MemberVersion(
                name=name,
                incarnation=record.node.incarnation,
                version=record.version,
            ),
        )

    def refutation_threshold(
        self, sender: MemberVersion
    ) -> MemberVersion | None:
        """Return the version that the sender must exceed to be considered live.

        Return ``None`` if it is considered live, or exceeds this already.
        """
        record = self.table.find(sender.name)
        if record is None:
            threshold = self._tombstones.get(sender.name)
        elif record.state in {MemberState.SUSPECT, MemberState.DEAD}:
            threshold = (record.node.incarnation, record.version)
        else:
            return None
        if threshold is None or (
            (sender.incarnation, sender.version) > threshold
        ):
            return None
        return MemberVersion(
            name=sender.name,
            incarnation=threshold[0],
            version=threshold[1],
        )

    def _forget(self, record: MemberRecord) -> None:
        self._tombstones[record.name] = (
            record.node.incarnation,
            record.version,
        )
        if len(self._tombstones) > _MAX_TOMBSTONES:
            self._tombstones.popitem(last=False)
        self._state_since.pop(record.name)
        self.table.drop(record.name)
