"""``limpet-load``: sends an experiment's load to a running site.

It starts no process: the file's ``target`` names the entries, the engines to
sample and the checker of answers. ``--report`` writes the report anew from
the records that are there.
"""

import sys
from collections.abc import Iterator
from contextlib import contextmanager
from dataclasses import dataclass
from pathlib import Path
from typing import Annotated

import cappa

from limpetdrift.loads.experiment import Experiment, load_experiment
from limpetdrift.loads.output import save_runs, write_outcome
from limpetdrift.loads.running import run_experiment
from limpetdrift.loads.site import Site, load_checker
from limpetdrift.programs.exits import BAD_SETTINGS_EXIT


@cappa.command(name='limpet-load', help='Run a load experiment.')
@dataclass(frozen=True, kw_only=True)
class Arguments:
    """The command line."""

    experiment: Annotated[
        str,
        cappa.Arg(help='The YAML file of the experiment.'),
    ]
    out: Annotated[
        str,
        cappa.Arg(long='--out', help='The folder for records and report.'),
    ] = 'load-run'
    report: Annotated[
        bool,
        cappa.Arg(long='--report', help='Only write the report anew.'),
    ] = False


def main() -> None:
    """Run the experiment of the command line against its target."""
    arguments = cappa.parse(Arguments)
    experiment = read_experiment(arguments.experiment)
    folder = Path(arguments.out)
    if arguments.report:
        write_outcome(folder, experiment)
        return
    _check_target(experiment)
    save_runs(folder, experiment, run_experiment(experiment, open_target))


def read_experiment(path: str) -> Experiment:
    """Return the experiment, or print all complaints and exit with 2."""
    loaded = load_experiment(path)
    if loaded.is_ok():
        return loaded.ok
    _exit_with(*(str(complaint) for complaint in loaded.error))


@contextmanager
def open_target(experiment: Experiment, policy: str) -> Iterator[Site]:
    """Return the running site that the file names."""
    target = experiment.target
    yield Site(
        entries=target.entries,
        engines=target.engines,
        keys={
            name: account.key.read()
            for name, account in experiment.accounts.items()
            if account.key is not None
        },
        check=load_checker(target.checker),
    )


def _check_target(experiment: Experiment) -> None:
    target = experiment.target
    if not target.entries or not target.checker:
        _exit_with('target: entries and a checker are needed')
    if any(each.key is None for each in experiment.accounts.values()):
        _exit_with('accounts: each needs a key')
    if len(experiment.policies) > 1 or experiment.faults:
        _exit_with('a running site has one policy, and no faults from here')


def _exit_with(*lines: str) -> None:
    for line in lines:
        sys.stderr.write(f'{line}\n')
    sys.exit(BAD_SETTINGS_EXIT)


if __name__ == '__main__':
    main()
