"""A node's own record, which it alone may raise."""

from collections.abc import Callable
from dataclasses import replace

from absl import logging

from limpetdrift import telemetry
from limpetdrift.protocol.gossip import MemberRecord, MemberState, MemberVersion
from limpetdrift.protocol.node import Node


class OwnRecord:
    """The record of this node; ``publish`` hands a new one to the gossip."""

    def __init__(
        self,
        *,
        node: Node,
        publish: Callable[[MemberRecord], None],
    ) -> None:
        self._record = MemberRecord(node=node)
        self._publish = publish

    @property
    def record(self) -> MemberRecord:
        """Return the record as this node last stated it."""
        return self._record

    def standing(self) -> MemberVersion:
        """Return how far the record has come."""
        return MemberVersion(
            name=self._record.name,
            incarnation=self._record.node.incarnation,
            version=self._record.version,
        )

    def leave(self) -> None:
        """State that this node is leaving."""
        self._record = replace(
            self._record,
            state=MemberState.LEAVING,
            leaving=True,
        )
        self._restate(self._record.version)

    def refute(self, held: MemberVersion) -> None:
        """Raise the record above one that holds this node suspect or dead."""
        if held.name != self._record.name:
            return
        if held.incarnation > self._record.node.incarnation:
            telemetry.count('membership_superseded')
            logging.warning('another process runs under %s', held.name)
        elif held.version >= self._record.version:
            self._restate(held.version)

    def refute_record(self, record: MemberRecord) -> None:
        """Raise the record above another one of this node."""
        if record == self._record:
            return
        self.refute(
            MemberVersion(
                name=record.name,
                incarnation=record.node.incarnation,
                version=record.version,
            ),
        )

    def _restate(self, above: int) -> None:
        self._record = replace(self._record, version=above + 1)
        self._publish(self._record)
