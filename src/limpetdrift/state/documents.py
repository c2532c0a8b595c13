"""Classifies, merges and validates configuration documents.

There is one base document for all sites and one overlay for each site. An
overlay holds only the values that differ from the base: mappings are merged
by key, ``null`` removes a key of the base, and a list or a scalar replaces
the base's value. The merged result is validated, and each complaint names the
file that the value came from.

>>> document = classify_document('simu-kona.yaml', text).ok
>>> document.name
'site/simu-kona'
"""

import re
from collections.abc import Iterable
from dataclasses import dataclass

from expression import Result

from limpetdrift.protocol.configuration import (
    Complaints,
    Document,
    SourcedValue,
)
from limpetdrift.state.checked_yaml import read_tree
from limpetdrift.state.merging import (
    merge_trees,
    sourced_values,
)
from limpetdrift.state.references import check_references
from limpetdrift.state.site import SiteConfig
from limpetdrift.state.yaml_tree import (
    MappingNode,
    ScalarNode,
    make_complaint,
    parse_tree,
)

BASE_NAME = 'base'
SITE_PREFIX = 'site/'
_SITE_KEY = 'site'
_SITE_NAME = re.compile('[a-z0-9][a-z0-9-]{0,62}')


@dataclass(frozen=True, kw_only=True, slots=True)
class MergedSite:
    """A valid site configuration, and the source of each of its values."""

    config: SiteConfig
    values: tuple[SourcedValue, ...]


def overlay_name(site: str) -> str:
    """Return the document name of a site's overlay."""
    return SITE_PREFIX + site


def site_of(name: str) -> str:
    """Return the site of an overlay, or an empty text for the base."""
    return '' if name == BASE_NAME else name.removeprefix(SITE_PREFIX)


def classify_document(file: str, text: str) -> Result[Document, Complaints]:
    """Return the document of a text.

    It is the overlay of the site that its ``site`` key names; without that
    key it is the base.
    """
    return parse_tree(text, file).bind(
        lambda tree: _document_name(tree).map(
            lambda name: Document(name=name, file=file, text=text),
        ),
    )


def load_site(
    base: Document, overlay: Document
) -> Result[MergedSite, Complaints]:
    """Merge an overlay into the base and validate the result."""
    return parse_tree(base.text, base.file).bind(
        lambda base_tree: parse_tree(overlay.text, overlay.file).bind(
            lambda overlay_tree: _merge_and_check(base_tree, overlay_tree),
        ),
    )


def load_base(base: Document) -> Result[SiteConfig, Complaints]:
    """Validate the base without an overlay."""
    return parse_tree(base.text, base.file).bind(_check_tree)


def check_documents(
    base: Document,
    overlays: Iterable[Document],
) -> Result[dict[str, MergedSite], Complaints]:
    """Validate the base and all overlays.

    Return the merged sites by name, or the complaints of all documents, each
    of them once.
    """
    base_only = load_base(base)
    complaints = dict.fromkeys(base_only.error if base_only.is_error() else ())
    sites = {}
    for overlay in overlays:
        loaded = load_site(base, overlay)
        if loaded.is_error():
            complaints.update(dict.fromkeys(loaded.error))
        else:
            sites[site_of(overlay.name)] = loaded.ok
    return Result.Error(tuple(complaints)) if complaints else Result.Ok(sites)


def _document_name(tree: MappingNode) -> Result[str, Complaints]:
    node = tree.nodes.get(_SITE_KEY)
    if node is None:
        return Result.Ok(BASE_NAME)
    if isinstance(node, ScalarNode) and _SITE_NAME.fullmatch(node.text):
        return Result.Ok(overlay_name(node.text))
    expected = 'a site name of small letters, digits and hyphens'
    return Result.Error((make_complaint(node.mark, _SITE_KEY, expected),))


def _merge_and_check(
    base: MappingNode,
    overlay: MappingNode,
) -> Result[MergedSite, Complaints]:
    return merge_trees(base, overlay).bind(
        lambda merged: _check_tree(merged).map(
            lambda config: MergedSite(
                config=config,
                values=tuple(sourced_values(merged, overlay.mark.file)),
            ),
        ),
    )


def _check_tree(tree: MappingNode) -> Result[SiteConfig, Complaints]:
    config = read_tree(tree, SiteConfig)
    if config.is_error():
        return config
    complaints = tuple(check_references(tree, config.ok))
    return Result.Error(complaints) if complaints else config
