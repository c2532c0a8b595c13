"""Maintains a node's own member record.

Other nodes may change the record's state, but only the node itself raises its
version.
"""

from collections.abc import Callable
from dataclasses import replace

from absl import logging

from limpetdrift import telemetry
from limpetdrift.protocol.gossip import MemberRecord, MemberState, MemberVersion
from limpetdrift.protocol.node import Node


class OwnRecord:
    """The record of this node; ``publish`` merges a new one into the gossip."""

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
        """The record as this node last published it."""
        return self._record

    def current_version(self) -> MemberVersion:
        """Return the incarnation and version of the record."""
        return MemberVersion(
            name=self._record.name,
            incarnation=self._record.node.incarnation,
            version=self._record.version,
        )

    def leave(self) -> None:
        """Publish that this node is leaving."""
        self._record = replace(
            self._record,
            state=MemberState.LEAVING,
            leaving=True,
        )
        self._publish_above(self._record.version)

    def refute(self, suspected: MemberVersion) -> None:
        """Publish a version above the one that peers hold suspect or dead.

        A later incarnation can't be refuted: another process runs under this
        node's name, which is logged.
        """
        if suspected.name != self._record.name:
            return
        if suspected.incarnation > self._record.node.incarnation:
            telemetry.count('membership_superseded')
            logging.warning(
                'a later incarnation runs under the node name %s',
                suspected.name,
            )
        elif suspected.version >= self._record.version:
            self._publish_above(suspected.version)

    def refute_record(self, record: MemberRecord) -> None:
        """Publish a version above that of a differing record of this node."""
        if record == self._record:
            return
        self.refute(
            MemberVersion(
                name=record.name,
                incarnation=record.node.incarnation,
                version=record.version,
            ),
        )

    def _publish_above(self, version: int) -> None:
        self._record = replace(self._record, version=version + 1)
        self._publish(self._record)
