"""Reads a settings file, or exits with the complaints about it."""

import sys

from limpetdrift.programs.exits import BAD_SETTINGS_EXIT
from limpetdrift.settings import Settings, load_settings


def load_settings_or_exit(path: str, kind: type[Settings]) -> Settings:
    """Return the settings, or print all complaints and exit with status 2."""
    loaded = load_settings(path, kind)
    if loaded.is_ok():
        return loaded.ok
    for complaint in loaded.error:
        sys.stderr.write(f'{complaint}\n')
    sys.exit(BAD_SETTINGS_EXIT)
