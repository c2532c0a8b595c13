"""Decodes the operators' rows that evacuate failure domains.

The key of such a row names the failure domain. The evacuation lasts until the
row is removed; its value doesn't matter.
"""

from collections.abc import Iterable

from limpetdrift.platform.store import RowPage, StoredRow
from limpetdrift.state.evacuations import Evacuations

_KEY_PREFIX = 'evacuate/'


def apply_evacuations(
    evacuations: Evacuations, page: RowPage, *, is_whole: bool
) -> None:
    """Apply a page with the whole table, or with its changed rows."""
    named = decode_evacuations(page.rows)
    if is_whole:
        evacuations.read(page.era, page.version, named)
    elif named:
        evacuations.change(page.era, page.version, named)


def decode_evacuations(rows: Iterable[StoredRow]) -> dict[str, bool]:
    """Return the failure domains that rows name, and if they are evacuated.

    Other rows are skipped.
    """
    return {
        row.key.removeprefix(_KEY_PREFIX): row.value is not None
        for row in rows
        if row.key.startswith(_KEY_PREFIX) and row.key != _KEY_PREFIX
    }
