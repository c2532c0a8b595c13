"""The configuration that one process holds and has in force.

Documents only move forward. A site is in force as the merge of one base
version and one overlay version that were checked together: each document must
have at least the version that the other requires. Until a missing one comes,
the former merge stays in force.
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
class _InForce:
    versions: SiteVersions
    merged: MergedSite


class ConfigurationReplica:
    """Documents by name, and the sites that are in force."""

    def __init__(self) -> None:
        self._documents: dict[str, StoredDocument] = {}
        self._sites: dict[str, _InForce] = {}
        self._stamp = 0

    @property
    def documents(self) -> dict[str, StoredDocument]:
        """The documents held, by name."""
        return dict(self._documents)

    @property
    def versions(self) -> dict[str, int]:
        """The version held of each document."""
        return {name: each.version for name, each in self._documents.items()}

    @property
    def versions_hash(self) -> int:
        """A hash over all versions held, for a cheap compare."""
        return self._stamp

    @property
    def sites(self) -> tuple[SiteVersions, ...]:
        """The versions in force of each site."""
        return tuple(each.versions for each in self._sites.values())

    @property
    def awaits_requirements(self) -> bool:
        """Whether a held document waits for another that it requires."""
        return any(
            self._wanted(name) != self._in_force(site_of(name))
            for name in self._documents
            if name != BASE_NAME
        )

    def site(self, name: str) -> SiteConfig | None:
        """Return a site's configuration in force."""
        found = self._sites.get(name)
        return found.merged.config if found else None

    def merged(self, name: str) -> MergedSite | None:
        """Return a site's configuration with the source of each value."""
        found = self._sites.get(name)
        return found.merged if found else None

    def apply_newer(
        self,
        documents: tuple[StoredDocument, ...],
    ) -> tuple[StoredDocument, ...]:
        """Take the documents that are newer, and return those."""
        taken = tuple(
            each
            for each in documents
            if each.version > self._version(each.name)
        )
        for document in taken:
            self._documents[document.name] = document
        if taken:
            self._stamp = stamp_of(self.versions)
        for name in self._documents:
            if name != BASE_NAME and self._agrees(name):
                self._merge(name)
        return taken

    def _version(self, name: str) -> int:
        held = self._documents.get(name)
        return held.version if held else ABSENT

    def _agrees(self, name: str) -> bool:
        base = self._documents.get(BASE_NAME)
        if base is None:
            return False
        overlay = self._documents[name]
        return (
            overlay.requires.get(BASE_NAME, ABSENT) <= base.version
            and base.requires.get(name, ABSENT) <= overlay.version
        )

    def _merge(self, name: str) -> None:
        site = site_of(name)
        wanted = self._wanted(name)
        if wanted == self._in_force(site):
            return
        merged = load_site(
            self._documents[BASE_NAME].document,
            self._documents[name].document,
        )
        if merged.is_error():
            telemetry.count('refusals', reason='configuration-unreadable')
            return
        self._sites[site] = _InForce(versions=wanted, merged=merged.ok)

    def _wanted(self, name: str) -> SiteVersions:
        return SiteVersions(
            site=site_of(name),
            base=self._version(BASE_NAME),
            overlay=self._version(name),
        )

    def _in_force(self, site: str) -> SiteVersions | None:
        found = self._sites.get(site)
        return found.versions if found else None


def newer_names(
    these: dict[str, int],
    those: dict[str, int],
) -> tuple[str, ...]:
    """Return the names whose version is higher in the first."""
    return tuple(
        name
        for name, version in these.items()
        if version > those.get(name, ABSENT)
    )


def stamp_of(versions: dict[str, int]) -> int:
    """Return a 63-bit hash over names and versions."""
    listed = ','.join(f'{name}={versions[name]}' for name in sorted(versions))
    return xxhash.xxh64_intdigest(listed.encode()) >> 1
