"""Synchronizes configuration documents between entries.

Two entries compare a stamp, which is a hash over the versions of their
documents. If the stamps differ, each receives the documents of which the other
holds a newer version.
"""

from enum import Enum, auto, unique

from expression import Result

from limpetdrift import telemetry
from limpetdrift.coordination.configuration.config_confirmation import (
    ConfigurationTiming,
    ConfirmationState,
)
from limpetdrift.coordination.peers import PeerCall, PeerRoutes
from limpetdrift.protocol.configuration import (
    EntryVersions,
    Exchange,
    ExchangeReply,
    FetchDocuments,
    PushDocuments,
    PushReply,
    StoredDocument,
    VersionsRequest,
)
from limpetdrift.protocol.node import Node
from limpetdrift.state.configuration_replica import (
    ConfigurationReplica,
    newer_names,
)
from limpetdrift.transport.messages import Address
from limpetdrift.verdict import Failure, Reason

EXCHANGE_PATH = 'configuration/exchange'
FETCH_PATH = 'configuration/fetch'
PUSH_PATH = 'configuration/push'
VERSIONS_PATH = 'configuration/versions'


@unique
class ExchangeResult(Enum):
    """How an exchange with a peer ended.

    After a successful exchange it is ``CONFIRMED`` if the peer's versions of
    the configuration documents were confirmed to it, by the store or by other
    peers, since its last start, pause or partition, else ``UNCONFIRMED``.
    ``REFUSED`` means that the peer refused the connection, ``FAILED`` any
    other error.
    """

    CONFIRMED = auto()
    UNCONFIRMED = auto()
    REFUSED = auto()
    FAILED = auto()


class ConfigurationSync:
    """Exchanges documents with peers, on both sides of a call."""

    def __init__(
        self,
        *,
        node: Node,
        replica: ConfigurationReplica,
        confirmation: ConfirmationState,
        call: PeerCall,
        timing: ConfigurationTiming,
    ) -> None:
        self._node = node
        self._replica = replica
        self._confirmation = confirmation
        self._call = call
        self._timing = timing

    @property
    def own_versions(self) -> EntryVersions:
        """The versions that this entry holds and has in force."""
        return EntryVersions(
            entry=self._node.name,
            held=self._replica.versions,
            sites=self._replica.sites,
            admits=self._confirmation.check() is None,
        )

    def register(self, routes: PeerRoutes) -> None:
        """Register the handlers of peers' calls."""
        routes.add(EXCHANGE_PATH, Exchange, self._on_exchange)
        routes.add(FETCH_PATH, FetchDocuments, self._on_fetch)
        routes.add(PUSH_PATH, PushDocuments, self._on_push)
        routes.add(VERSIONS_PATH, VersionsRequest, self._on_versions)

    async def exchange(self, peer: Address) -> ExchangeResult:
        """Bring each document to its newer version, here and at the peer."""
        answer = await self._call(
            peer,
            EXCHANGE_PATH,
            Exchange(
                sender=self._node.peer_address,
                stamp=self._replica.versions_hash,
            ),
            ExchangeReply,
            timeout_seconds=self._timing.call_timeout_seconds,
        )
        if answer.is_error():
            return _result_of(answer.error)
        reply = answer.ok
        if reply.stamp != self._replica.versions_hash:
            fetched = await self._fetch(peer, reply)
            await self._offer(peer, reply)
            if not fetched:
                return ExchangeResult.FAILED
        return (
            ExchangeResult.CONFIRMED
            if reply.confirmed
            else ExchangeResult.UNCONFIRMED
        )

    async def push(
        self,
        peer: Address,
        documents: tuple[StoredDocument, ...],
    ) -> Result[PushReply, Failure]:
        """Send documents to a peer, which keeps those that are newer."""
        return await self._call(
            peer,
            PUSH_PATH,
            PushDocuments(documents=documents),
            PushReply,
            timeout_seconds=self._timing.call_timeout_seconds,
        )

    async def versions(self, peer: Address) -> Result[EntryVersions, Failure]:
        """Return the versions that a peer holds and has in force."""
        return await self._call(
            peer,
            VERSIONS_PATH,
            VersionsRequest(sender=self._node.name),
            EntryVersions,
            timeout_seconds=self._timing.call_timeout_seconds,
        )

    async def _fetch(self, peer: Address, reply: ExchangeReply) -> bool:
        names = newer_names(reply.versions, self._replica.versions)
        if not names:
            return True
        answer = await self._call(
            peer,
            FETCH_PATH,
            FetchDocuments(names=names),
            PushDocuments,
            timeout_seconds=self._timing.call_timeout_seconds,
        )
        if answer.is_error():
            telemetry.count('retries', reason=answer.error.reason)
            return False
        self._replica.apply_newer(answer.ok.documents)
        return True

    async def _offer(self, peer: Address, reply: ExchangeReply) -> None:
        names = newer_names(self._replica.versions, reply.versions)
        if names:
            await self.push(peer, self._documents(names))

    def _documents(self, names: tuple[str, ...]) -> tuple[StoredDocument, ...]:
        documents = self._replica.documents
        return tuple(documents[name] for name in names if name in documents)

    async def _on_exchange(
        self,
        message: Exchange,
    ) -> Result[ExchangeReply, Failure]:
        differs = message.stamp != self._replica.versions_hash
        return Result.Ok(
            ExchangeReply(
                stamp=self._replica.versions_hash,
                confirmed=self._confirmation.check() is None,
                versions=self._replica.versions if differs else {},
            ),
        )

    async def _on_fetch(
        self,
        message: FetchDocuments,
    ) -> Result[PushDocuments, Failure]:
        documents = self._documents(message.names)
        return Result.Ok(PushDocuments(documents=documents))

    async def _on_push(
        self,
        message: PushDocuments,
    ) -> Result[PushReply, Failure]:
        self._replica.apply_newer(message.documents)
        return Result.Ok(PushReply(versions=self._replica.versions))

    async def _on_versions(
        self,
        message: VersionsRequest,
    ) -> Result[EntryVersions, Failure]:
        return Result.Ok(self.own_versions)


def _result_of(failure: Failure) -> ExchangeResult:
    if failure.reason is Reason.CONNECT_FAILED:
        return ExchangeResult.REFUSED
    return ExchangeResult.FAILED
