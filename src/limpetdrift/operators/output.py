"""Prints reports, as tables for people or as JSON for programs."""

import sys
from collections.abc import Iterable, Sequence
from dataclasses import dataclass

from limpetdrift.operators.exits import REFUSAL_EXITS, ExitCode
from limpetdrift.protocol.codec import encode
from limpetdrift.protocol.configuration import (
    ChangeRecord,
    Conflict,
    Refusal,
    Rejection,
)
from limpetdrift.verdict import Failure, Verdict

_GAP = '  '


@dataclass(frozen=True, kw_only=True, slots=True)
class Output:
    """Prints reports to standard output, as JSON if ``json`` is set."""

    json: bool

    def report(self, message: object, lines: Iterable[str]) -> None:
        """Print the message as one JSON object, or the lines as text."""
        if self.json:
            text = encode(message).decode()
            sys.stdout.write(f'{text}\n')
            return
        for line in lines:
            sys.stdout.write(f'{line}\n')

    def fail(self, failure: Failure) -> ExitCode:
        """Print the failure of a call and return the exit code for it.

        The code is ``UNKNOWN`` if the call may have run.
        """
        text = f'{failure.reason}: {failure.detail} ({failure.verdict})'
        self.report(failure, [text])
        if failure.verdict is Verdict.NOT_RUN:
            return ExitCode.UNAVAILABLE
        return ExitCode.UNKNOWN

    def reject(self, rejection: Rejection) -> ExitCode:
        """Print why a change was refused and return the exit code for it."""
        self.report(rejection, _rejection_lines(rejection))
        return REFUSAL_EXITS[rejection.refusal]


def format_table(
    headers: Sequence[str], rows: Iterable[Sequence[object]]
) -> list[str]:
    """Return the lines of a table with aligned columns."""
    texts = [tuple(headers), *(tuple(map(str, row)) for row in rows)]
    widths = [max(map(len, column)) for column in zip(*texts, strict=True)]
    return [
        _GAP.join(map(str.ljust, row, widths)).rstrip()  # noqa: WPS221
        for row in texts
    ]


def _rejection_lines(rejection: Rejection) -> list[str]:
    lines = [f'refused: {rejection.refusal}']
    lines.extend(map(str, rejection.complaints))
    for conflict in rejection.conflicts:
        lines.extend(_conflict_lines(conflict))
    if rejection.failure is not None:
        reason = rejection.failure.reason
        detail = rejection.failure.detail
        lines.append(f'{reason}: {detail}')
    if rejection.refusal is Refusal.UNKNOWN:
        lines.append(
            'The change may still take effect. Apply it again to find out.'
        )
    return lines


def _conflict_lines(conflict: Conflict) -> list[str]:
    expected = conflict.expected_version
    current = conflict.current_version
    changes = map(_change_line, conflict.changes)
    header = f'{conflict.name}: expected version {expected}, it is {current}'
    return [header, *changes, *conflict.difference.splitlines()]


def _change_line(record: ChangeRecord) -> str:
    author = record.author or 'someone'
    return f'  version {record.version} by {author} {record.at}'.rstrip()
