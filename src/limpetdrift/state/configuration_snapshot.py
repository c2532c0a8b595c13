"""Defines the result of reading all configuration documents at once."""

from dataclasses import dataclass

from limpetdrift.protocol.configuration import StoredDocument
from limpetdrift.protocol.table import ABSENT


@dataclass(frozen=True, kw_only=True, slots=True)
class ConfigurationSnapshot:
    """All documents as read from the table service.

    ``stamp`` and ``sites_version`` are the versions of the rows ``stamp`` and
    ``sites``, see ``limpetdrift.state.configuration``.
    """

    documents: dict[str, StoredDocument]
    stamp: int = ABSENT
    sites_version: int = ABSENT

    @property
    def versions(self) -> dict[str, int]:
        """The version of each document."""
        return {name: each.version for name, each in self.documents.items()}

    def version(self, name: str) -> int:
        """Return a document's version, ``ABSENT`` if it doesn't exist."""
        found = self.documents.get(name)
        return found.version if found else ABSENT
