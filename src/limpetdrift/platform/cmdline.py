"""The command line of the entry on the platform."""

from dataclasses import dataclass
from typing import Annotated

import cappa


@cappa.command(
    name='limpet-platform-entry',
    help="Serve callers and their directory on the users' platform.",
)
@dataclass(frozen=True, kw_only=True)
class Arguments:
    """The parsed arguments."""

    check: Annotated[
        bool,
        cappa.Arg(
            long='--check',
            help='Check the settings file, print its settings, and exit.',
        ),
    ] = False
    settings: Annotated[
        str,
        cappa.Arg(
            long='--settings',
            help='The settings file; by default the environment names it.',
        ),
    ] = ''


def parse_arguments() -> Arguments:
    """Parse the command line of this process."""
    return cappa.parse(Arguments)
