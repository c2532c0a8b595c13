"""All configuration documents as they were read at one time."""

from dataclasses import dataclass

from limpetdrift.protocol.configuration import StoredDocument
from limpetdrift.protocol.table import ABSENT


@dataclass(frozen=True, kw_only=True, slots=True)
class ConfigurationSnapshot:
    """All documents as read, with the versions of the two other rows."""

    documents: dict[str, StoredDocument]
    stamp: int = ABSENT
    sites_version: int = ABSENT

    @property
    def versions(self) -> dict[str, int]:
        """The version of each document."""
        return {name: each.version for name, each in self.documents.items()}

    def version(self, name: str) -> int:
        """Return a document's version, ``ABSENT`` where there is none."""
        found = self.documents.get(name)
        return found.version if found else ABSENT
