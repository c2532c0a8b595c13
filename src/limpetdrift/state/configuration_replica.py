"""Keeps a process's replica of the configuration and the sites in force.

Documents may arrive in any order; one is only ever replaced by a newer
version. The configuration in force of a site is the merge of a base version
and an overlay version that were validated together: each document must have
at least the version that the other requires. Until a required version
arrives, or if the new merge is invalid, the previous merge stays in force.
"""

from dataclasses import dataclass

import xxhash

from limpetdrift import telemetry
from limpetdrift.protocol.configuration import SiteVersions, StoredDocument
from limpetdrift.protocol.table import ABSENT
from limpetdrift.state.documents import (
    BASE_NAME,
    MergedSite,
    load_site,
    site_of,
)
from limpetdrift.state.site import SiteConfig


@dataclass(frozen=True, kw_only=True, slots=True)
class _ActiveSite:
    """A merge in force, and the document versions that it was made from."""

    versions: SiteVersions
    merged: MergedSite


class ConfigurationReplica:
    """The newest documents received, and the configuration of each site."""

    def __init__(self) -> None:
        self._documents: dict[str, StoredDocument] = {}
        self._sites: dict[str, _ActiveSite] = {}
        self._versions_hash = 0

    @property
    def documents(self) -> dict[str, StoredDocument]:
        """The newest documents received, by name."""
        return dict(self._documents)

    @property
    def versions(self) -> dict[str, int]:
        """The version of each document received."""
        return {name: each.version for name, each in self._documents.items()}

    @property
    def versions_hash(self) -> int:
        """A hash over all document versions, to compare replicas cheaply."""
        return self._versions_hash

    @property
    def sites(self) -> tuple[SiteVersions, ...]:
        """The document versions in force of each site."""
        return tuple(each.versions for each in self._sites.values())

    @property
    def awaits_requirements(self) -> bool:
        """Whether a site's newest documents aren't in force yet.

        A version that they require is missing, or their merge is invalid.
        """
        return any(
            self._newest_versions(name) != self._active_versions(site_of(name))
            for name in self._documents
            if name != BASE_NAME
        )

    def site(self, name: str) -> SiteConfig | None:
        """Return a site's configuration in force, if there is one."""
        found = self._sites.get(name)
        return found.merged.config if found else None

    def merged(self, name: str) -> MergedSite | None:
        """Return a site's configuration in force with its values' sources."""
        found = self._sites.get(name)
        return found.merged if found else None

    def apply_newer(
        self,
        documents: tuple[StoredDocument, ...],
    ) -> tuple[StoredDocument, ...]:
        """Store the documents that are newer than the replica's.

        Merge each site again whose requirements are met, and return the
        documents that were stored.
        """
        newer = tuple(
            each
            for each in documents
            if each.version > self._version(each.name)
        )
        for document in newer:
            self._documents[document.name] = document
        if newer:
            self._versions_hash = hash_versions(self.versions)
        for name in self._documents:
            if name != BASE_NAME and self._meets_requirements(name):
                self._activate(name)
        return newer

    def _version(self, name: str) -> int:
        found = self._documents.get(name)
        return found.version if found else ABSENT

    def _meets_requirements(self, name: str) -> bool:
        base = self._documents.get(BASE_NAME)
        if base is None:
            return False
        overlay = self._documents[name]
        return (
            overlay.requires.get(BASE_NAME, ABSENT) <= base.version
            and base.requires.get(name, ABSENT) <= overlay.version
        )

    def _activate(self, name: str) -> None:
        site = site_of(name)
        newest = self._newest_versions(name)
        if newest == self._active_versions(site):
            return
        merged = load_site(
            self._documents[BASE_NAME].document,
            self._documents[name].document,
        )
        if merged.is_error():
            telemetry.count('refusals', reason='configuration-unreadable')
            return
        self._sites[site] = _ActiveSite(versions=newest, merged=merged.ok)

    def _newest_versions(self, name: str) -> SiteVersions:
        return SiteVersions(
            site=site_of(name),
            base=self._version(BASE_NAME),
            overlay=self._version(name),
        )

    def _active_versions(self, site: str) -> SiteVersions | None:
        found = self._sites.get(site)
        return found.versions if found else None


def newer_names(
    versions: dict[str, int],
    other_versions: dict[str, int],
) -> tuple[str, ...]:
    """Return the names whose version is higher in the first mapping."""
    return tuple(
        name
        for name, version in versions.items()
        if version > other_versions.get(name, ABSENT)
    )


def hash_versions(versions: dict[str, int]) -> int:
    """Return a 63-bit hash over names and versions."""
    listed = ','.join(f'{name}={versions[name]}' for name in sorted(versions))
    return xxhash.xxh64_intdigest(listed.encode()) >> 1
