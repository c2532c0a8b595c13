"""Says what changed in a document since an operator saw it."""

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
    """Return the changes of a document after its expected version."""
    standing = snapshot.documents.get(name)
    records = standing.history if standing else ()
    return Conflict(
        name=name,
        expected_version=expected,
        current_version=standing.version if standing else ABSENT,
        changes=tuple(each for each in records if each.version > expected),
        difference=_difference(change, name, standing),
    )


def _difference(
    change: Change,
    name: str,
    standing: StoredDocument | None,
) -> str:
    wanted = {each.name: each.text for each in change.documents}
    if name not in wanted:
        return ''
    current = standing.document.text if standing else ''
    return text_difference(
        current,
        wanted[name],
        f'{name} in force',
        f'{name} refused',
    )


def text_difference(old: str, new: str, old_name: str, new_name: str) -> str:
    """Return the unified difference of two texts."""
    lines = difflib.unified_diff(
        old.splitlines(),
        new.splitlines(),
        old_name,
        new_name,
        n=1,
        lineterm='',
    )
    return '\n'.join(lines)
