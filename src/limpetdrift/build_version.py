"""Tells which build of the package runs.

During an upgrade, builds run side by side. The build script writes the version
beside this module.
"""

from pathlib import Path

from limpetdrift import telemetry
from limpetdrift.logs import note

_VERSION_FILE = Path(__file__).with_name('build-version.txt')
# Version of a package that runs from its sources.
UNKNOWN_VERSION = 'unknown'


def read_build_version(path: Path = _VERSION_FILE) -> str:
    """Return the version of this build, ``unknown`` if there is none."""
    try:
        version = path.read_text('utf-8').strip()
    except (OSError, UnicodeDecodeError):
        return UNKNOWN_VERSION
    return version or UNKNOWN_VERSION


def report_build_version(instance: str) -> None:
    """Log the version, and count a start of it.

    The sum of the counter over all processes, by version, is the number of
    entries of each build that run.
    """
    version = read_build_version()
    telemetry.count('starts', build=version)
    note('build', instance=instance, build=version)
