"""Configuration documents: one base for all sites, one overlay for each.

An overlay holds only what differs. Maps merge by key, ``null`` removes what
the base has, a list or a single value replaces the base's. The merged result
is what is checked, so a complaint names the file that the value came from.

>>> document = identify('simu-kona.yaml', text).ok
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
    Branch,
    Scalar,
    complain,
    parse_tree,
)

BASE_NAME = 'base'
SITE_PREFIX = 'site/'
_SITE_KEY = 'site'
_SITE_NAME = re.compile('[a-z0-9][a-z0-9-]{0,62}')


@dataclass(frozen=True, kw_only=True, slots=True)
class MergedSite:
    """A checked site: its configuration, and where each value is from."""

    config: SiteConfig
    values: tuple[SourcedValue, ...]


def site_document_name(site: str) -> str:
    """Return the name of a site's overlay."""
    return SITE_PREFIX + site


def site_of(name: str) -> str:
    """Return the site that an overlay's name stands for, or nothing."""
    return '' if name == BASE_NAME else name.removeprefix(SITE_PREFIX)


def classify_document(file: str, text: str) -> Result[Document, Complaints]:
    """Tell by its ``site`` key whether a text is an overlay, and whose."""
    return parse_tree(text, file).bind(
        lambda tree: _site_name(tree).map(
            lambda name: Document(name=name, file=file, text=text),
        ),
    )


def load_site(
    base: Document, overlay: Document
) -> Result[MergedSite, Complaints]:
    """Merge an overlay into the base and check the result."""
    return parse_tree(base.text, base.file).bind(
        lambda base_tree: parse_tree(overlay.text, overlay.file).bind(
            lambda overlay_tree: _check_merged(base_tree, overlay_tree),
        ),
    )


def load_base(base: Document) -> Result[SiteConfig, Complaints]:
    """Check the base alone, as it stands before there is any site."""
    return parse_tree(base.text, base.file).bind(_check_tree)


def check_documents(
    base: Document,
    overlays: Iterable[Document],
) -> Result[dict[str, MergedSite], Complaints]:
    """Check the base and all overlays; gather the complaints of all."""
    alone = load_base(base)
    complaints = dict.fromkeys(alone.error if alone.is_error() else ())
    sites = {}
    for overlay in overlays:
        loaded = load_site(base, overlay)
        if loaded.is_error():
            complaints.update(dict.fromkeys(loaded.error))
        else:
            sites[site_of(overlay.name)] = loaded.ok
    return Result.Error(tuple(complaints)) if complaints else Result.Ok(sites)


def _site_name(tree: Branch) -> Result[str, Complaints]:
    node = tree.nodes.get(_SITE_KEY)
    if node is None:
        return Result.Ok(BASE_NAME)
    if isinstance(node, Scalar) and _SITE_NAME.fullmatch(node.text):
        return Result.Ok(site_document_name(node.text))
    expected = 'a site name of small letters, digits and hyphens'
    return Result.Error((complain(node.mark, _SITE_KEY, expected),))


def _check_merged(
    base: Branch,
    overlay: Branch,
) -> Result[MergedSite, Complaints]:
    return merge_trees(base, overlay).bind(
        lambda merged: _check_tree(merged).map(
            lambda config: MergedSite(
                config=config,
                values=tuple(sourced_values(merged, overlay.mark.file)),
            ),
        ),
    )


def _check_tree(tree: Branch) -> Result[SiteConfig, Complaints]:
    config = read_tree(tree, SiteConfig)
    if config.is_error():
        return config
    complaints = tuple(check_references(tree, config.ok))
    return Result.Error(complaints) if complaints else config
