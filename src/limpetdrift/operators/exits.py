"""Defines the exit codes of ``limpetctl``."""

from enum import IntEnum, unique
from types import MappingProxyType

from limpetdrift.protocol.configuration import Refusal


@unique
class ExitCode(IntEnum):
    """The exit code of a command; ``EXIT_MEANINGS`` describes each."""

    DONE = 0
    DIFFERENT = 1
    USAGE = 2
    INVALID = 3
    CONFLICT = 4
    UNAVAILABLE = 5
    UNKNOWN = 6
    NOT_EVERYWHERE = 7


EXIT_MEANINGS = MappingProxyType(
    {
        ExitCode.DONE: 'done; after apply: in force on every known entry',
        ExitCode.DIFFERENT: 'diff found differences',
        ExitCode.USAGE: 'wrong arguments, or a file that cannot be read',
        ExitCode.INVALID: 'the documents are invalid; nothing was changed',
        ExitCode.CONFLICT: 'someone else changed it; nothing was changed',
        ExitCode.UNAVAILABLE: (
            'no entry, or the store, could be reached; nothing was changed'
        ),
        ExitCode.UNKNOWN: (
            'the change may have been accepted; apply the same file again'
        ),
        ExitCode.NOT_EVERYWHERE: (
            'accepted, but not seen in force on every known entry in time'
        ),
    },
)
REFUSAL_EXITS = MappingProxyType(
    {
        Refusal.INVALID: ExitCode.INVALID,
        Refusal.CONFLICT: ExitCode.CONFLICT,
        Refusal.UNAVAILABLE: ExitCode.UNAVAILABLE,
        Refusal.UNKNOWN: ExitCode.UNKNOWN,
    },
)
