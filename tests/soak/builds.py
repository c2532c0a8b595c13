"""Builds from which the entries of a site start: the present or an earlier one.

With an earlier build, each entry starts on it, and most later starts are on the
present one. So builds run side by side in any order, also after a rollback.
"""

import random
import subprocess
from collections.abc import Callable
from pathlib import Path

import limpetdrift

PRESENT_SOURCE = str(Path(limpetdrift.__file__).parents[1])
_REPOSITORY = Path(PRESENT_SOURCE).parent
# Share of the later starts that go back to the earlier build.
_ROLLBACK_SHARE = 0.25

# Returns the source folder from which an entry starts next.
ChooseSource = Callable[[], str]


def export_source(commit: str, folder: Path) -> str:
    """Write the sources of a commit to a folder; return their path.

    Raises ``CalledProcessError`` if the history doesn't have the commit.
    """
    archive = subprocess.run(
        ['git', 'archive', '--format=tar', commit, 'src'],
        cwd=_REPOSITORY,
        check=True,
        capture_output=True,
    )
    folder.mkdir(parents=True)
    subprocess.run(
        ['tar', '-x', '-C', str(folder)], input=archive.stdout, check=True
    )
    return str(folder / 'src')


def has_commit(commit: str) -> bool:
    """Return whether the history has a commit, as a shallow clone may not."""
    found = subprocess.run(
        ['git', 'cat-file', '-e', f'{commit}^{{commit}}'],
        cwd=_REPOSITORY,
        check=False,
        capture_output=True,
    )
    return found.returncode == 0


def choose_present() -> str:
    """Return the present sources."""
    return PRESENT_SOURCE


def make_choice(earlier: str, randomness: random.Random) -> ChooseSource:
    """Return the choice of an entry that starts on an earlier build."""
    is_first = [True]

    def choose() -> str:
        if is_first:
            is_first.clear()
            return earlier
        is_rollback = randomness.random() < _ROLLBACK_SHARE
        return earlier if is_rollback else PRESENT_SOURCE

    return choose
