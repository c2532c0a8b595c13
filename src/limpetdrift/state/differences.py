"""Reports how a document differs from what an operator expected."""

import difflib

from limpetdrift.protocol.configuration import (
    Change,
    Conflict,
    StoredDocument,
)
from limpetdrift.protocol.table import ABSENT
from limpetdrift.state.configuration_snapshot import ConfigurationSnapshot


def find_conflict(
    change: Change,
    snapshot: ConfigurationSnapshot,
    name: str,
    expected: int,
) -> Conflict:
    """Return what changed in a document after its expected version.

    The difference leads from the stored text to the text that ``change`` has
    for the document; it is empty if the change has none.
    """
    stored = snapshot.documents.get(name)
    records = stored.history if stored else ()
    return Conflict(
        name=name,
        expected_version=expected,
        current_version=stored.version if stored else ABSENT,
        changes=tuple(each for each in records if each.version > expected),
        difference=_difference(change, name, stored),
    )


def _difference(
    change: Change,
    name: str,
    stored: StoredDocument | None,
) -> str:
    new_texts = {each.name: each.text for each in change.documents}
    if name not in new_texts:
        return ''
    current = stored.document.text if stored else ''
    return text_difference(
        current,
        new_texts[name],
        f'{name} in force',
        f'{name} refused',
    )


def text_difference(old: str, new: str, old_name: str, new_name: str) -> str:
    """Return the unified diff of two texts, with one line of context."""
    lines = difflib.unified_diff(
        old.splitlines(),
        new.splitlines(),
        old_name,
        new_name,
        n=1,
        lineterm='',
    )
    return '\n'.join(lines)
