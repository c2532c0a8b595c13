"""``limpet-load``: sends an experiment's load to a running site.

It starts no process: ``target`` in the experiment's file names the entries,
the engines whose load is sampled, and the function that checks answers.
``--report`` only rewrites the report from the records of earlier runs.
"""

import sys
from collections.abc import Iterator
from contextlib import contextmanager
from dataclasses import dataclass
from pathlib import Path
from typing import Annotated

import cappa

from limpetdrift.loads.experiment import Experiment, load_experiment
from limpetdrift.loads.output import save_runs, write_report_and_plots
from limpetdrift.loads.running import run_experiment
from limpetdrift.loads.site import Site, load_checker
from limpetdrift.programs.exits import BAD_SETTINGS_EXIT


@cappa.command(name='limpet-load', help='Run a load experiment.')
@dataclass(frozen=True, kw_only=True)
class Arguments:
    """Arguments of the command line."""

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
        cappa.Arg(
            long='--report',
            help='Only rewrite the report from existing records.',
        ),
    ] = False


def main() -> None:
    """Run the experiment against its target, or rewrite its report."""
    arguments = cappa.parse(Arguments)
    experiment = read_experiment(arguments.experiment)
    folder = Path(arguments.out)
    if arguments.report:
        write_report_and_plots(folder, experiment)
        return
    _check_target(experiment)
    save_runs(folder, experiment, run_experiment(experiment, open_target))


def read_experiment(path: str) -> Experiment:
    """Return the experiment, or print all complaints and exit with status 2."""
    loaded = load_experiment(path)
    if loaded.is_ok():
        return loaded.ok
    _exit_with(*(str(complaint) for complaint in loaded.error))


@contextmanager
def open_target(experiment: Experiment, policy: str) -> Iterator[Site]:
    """Yield the running site that is the experiment's target."""
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
        _exit_with('target: expected entries and a checker')
    if any(each.key is None for each in experiment.accounts.values()):
        _exit_with('accounts: expected a key for each')
    if len(experiment.policies) > 1 or experiment.faults:
        _exit_with(
            'policies, faults: a running site takes one policy and no faults'
        )


def _exit_with(*lines: str) -> None:
    for line in lines:
        sys.stderr.write(f'{line}\n')
    sys.exit(BAD_SETTINGS_EXIT)


if __name__ == '__main__':
    main()
