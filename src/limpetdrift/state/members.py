"""What a node holds of the members of its region.

Of two records of a member the later incarnation wins, then the later version,
then the graver state. A member that has been dead for long is forgotten; what
remains is the mark that it reached, below which no record is taken.
"""

from collections import OrderedDict
from types import MappingProxyType

from limpetdrift.protocol.gossip import MemberRecord, MemberState, MemberVersion
from limpetdrift.state.records import RecordTable

FORGET_SECONDS = 120.0
_MARKS = 4096
_GRAVITY = MappingProxyType(
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
        _GRAVITY[record.state],
    )


def join_members(held: MemberRecord, given: MemberRecord) -> MemberRecord:
    """Return the later of two records of one member."""
    return given if _rank(given) > _rank(held) else held


def _is_hashed(record: MemberRecord) -> bool:
    return record.state is not MemberState.DEAD


class MemberTable:
    """Member records, when each came into its state, and marks of old ones."""

    def __init__(self) -> None:
        self.table: RecordTable[MemberRecord] = RecordTable(
            join=join_members,
            hashed=_is_hashed,
        )
        self._since: dict[str, float] = {}
        self._marks: OrderedDict[str, tuple[int, int]] = OrderedDict()

    def __len__(self) -> int:
        return len(self._since)

    def merge(self, record: MemberRecord, now: float) -> bool:
        """Take in a record, unless it is as old as one that was forgotten."""
        mark = self._marks.get(record.name)
        if mark and (record.node.incarnation, record.version) <= mark:
            return False
        if not self.table.merge(record):
            return False
        self._marks.pop(record.name, None)
        self._since[record.name] = now
        return True

    def since(self, name: str) -> float:
        """Return when the member came into the state that is held."""
        return self._since[name]

    def reset_state_timers(self, now: float) -> None:
        """Count the time in each state from now."""
        self._since = dict.fromkeys(self._since, now)

    def forget_dead(self, now: float) -> None:
        """Drop the members that have been dead for long."""
        for record in self.in_state(MemberState.DEAD):
            if now - self._since[record.name] >= FORGET_SECONDS:
                self._forget(record)

    def in_state(self, *states: MemberState) -> tuple[MemberRecord, ...]:
        """Return the records in any of the states."""
        return tuple(
            record for record in self.table.records() if record.state in states
        )

    def refutation_threshold_of(self, name: str) -> MemberVersion | None:
        """Return the mark a member must pass, if it is not held live."""
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
        """Return the mark a member must pass to be held live again."""
        record = self.table.find(sender.name)
        if record is None:
            mark = self._marks.get(sender.name)
        elif record.state in {MemberState.SUSPECT, MemberState.DEAD}:
            mark = (record.node.incarnation, record.version)
        else:
            return None
        if mark is None or (sender.incarnation, sender.version) > mark:
            return None
        return MemberVersion(
            name=sender.name,
            incarnation=mark[0],
            version=mark[1],
        )

    def _forget(self, record: MemberRecord) -> None:
        self._marks[record.name] = (record.node.incarnation, record.version)
        if len(self._marks) > _MARKS:
            self._marks.popitem(last=False)
        self._since.pop(record.name)
        self.table.drop(record.name)
