"""What entries tell each other about configuration.

Two entries compare a stamp over their versions; where the stamps differ, each
takes the documents in which the other is ahead.
"""

from enum import Enum, auto, unique

from expression import Result

from limpetdrift import telemetry
from limpetdrift.coordination.config_confirmation import (
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
from limpetdrift.protocol.verdict import Failure, Reason
from limpetdrift.state.configuration_replica import (
    ConfigurationReplica,
    newer_names,
)
from limpetdrift.transport.messages import Address

EXCHANGE_PATH = 'configuration/exchange'
FETCH_PATH = 'configuration/fetch'
PUSH_PATH = 'configuration/push'
VERSIONS_PATH = 'configuration/versions'


@unique
class ExchangeResult(Enum):
    """How an exchange with a peer went."""

    CONFIRMED = auto()
    UNCONFIRMED = auto()
    REFUSED = auto()
    SILENT = auto()


class ConfigurationSync:
    """Exchanges documents with peers, on both sides of a call."""

    def __init__(
        self,
        *,
        node: Node,
        held: ConfigurationReplica,
        confirmation: ConfirmationState,
        call: PeerCall,
        timing: ConfigurationTiming,
    ) -> None:
        self._node = node
        self._held = held
        self._confirmation = confirmation
        self._call = call
        self._timing = timing

    @property
    def own_versions(self) -> EntryVersions:
        """What this entry holds and has in force."""
        return EntryVersions(
            entry=self._node.name,
            held=self._held.versions,
            sites=self._held.sites,
            admits=self._confirmation.check() is None,
        )

    def register(self, routes: PeerRoutes) -> None:
        """Offer the handlers to peers."""
        routes.add(EXCHANGE_PATH, Exchange, self._on_exchange)
        routes.add(FETCH_PATH, FetchDocuments, self._on_fetch)
        routes.add(PUSH_PATH, PushDocuments, self._on_push)
        routes.add(VERSIONS_PATH, VersionsRequest, self._on_versions)

    async def exchange(self, peer: Address) -> ExchangeResult:
        """Bring this entry and a peer to the higher version of each."""
        answer = await self._call(
            peer,
            EXCHANGE_PATH,
            Exchange(
                sender=self._node.peer_address, stamp=self._held.versions_hash
            ),
            ExchangeReply,
            timeout_seconds=self._timing.call_timeout_seconds,
        )
        if answer.is_error():
            return _contact_of(answer.error)
        reply = answer.ok
        if reply.stamp != self._held.versions_hash:
            fetched = await self._fetch(peer, reply)
            await self._offer(peer, reply)
            if not fetched:
                return ExchangeResult.SILENT
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
        """Hand documents to a peer."""
        return await self._call(
            peer,
            PUSH_PATH,
            PushDocuments(documents=documents),
            PushReply,
            timeout_seconds=self._timing.call_timeout_seconds,
        )

    async def versions(self, peer: Address) -> Result[EntryVersions, Failure]:
        """Ask a peer what it holds and has in force."""
        return await self._call(
            peer,
            VERSIONS_PATH,
            VersionsRequest(sender=self._node.name),
            EntryVersions,
            timeout_seconds=self._timing.call_timeout_seconds,
        )

    async def _fetch(self, peer: Address, reply: ExchangeReply) -> bool:
        names = newer_names(reply.versions, self._held.versions)
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
        self._held.apply_newer(answer.ok.documents)
        return True

    async def _offer(self, peer: Address, reply: ExchangeReply) -> None:
        names = newer_names(self._held.versions, reply.versions)
        if names:
            await self.push(peer, self._documents(names))

    def _documents(self, names: tuple[str, ...]) -> tuple[StoredDocument, ...]:
        held = self._held.documents
        return tuple(held[name] for name in names if name in held)

    async def _on_exchange(
        self,
        message: Exchange,
    ) -> Result[ExchangeReply, Failure]:
        differs = message.stamp != self._held.versions_hash
        return Result.Ok(
            ExchangeReply(
                stamp=self._held.versions_hash,
                confirmed=self._confirmation.check() is None,
                versions=self._held.versions if differs else {},
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
        self._held.apply_newer(message.documents)
        return Result.Ok(PushReply(versions=self._held.versions))

    async def _on_versions(
        self,
        message: VersionsRequest,
    ) -> Result[EntryVersions, Failure]:
        return Result.Ok(self.own_versions)


def _contact_of(failure: Failure) -> ExchangeResult:
    if failure.reason is Reason.CONNECT_FAILED:
        return ExchangeResult.REFUSED
    return ExchangeResult.SILENT
