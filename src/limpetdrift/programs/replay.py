"""``limpet-replay``: replays a load in virtual time to compare policies.

It opens no connection and starts no process; a run of half a minute takes a
few seconds. ``--case`` and ``--policy`` select some of the cases of the load
file and some of the placement policies.
"""

import sys
from collections.abc import Iterable
from dataclasses import dataclass, field, replace
from pathlib import Path
from typing import Annotated

import cappa
from absl import logging

from limpetdrift.programs.exits import BAD_SETTINGS_EXIT
from limpetdrift.replays.charts import write_charts
from limpetdrift.replays.figures import RunFigures, compute_figures
from limpetdrift.replays.policies import POLICIES
from limpetdrift.replays.report import format_report
from limpetdrift.replays.simulated_site import RunSpec
from limpetdrift.replays.simulation import list_runs, simulate_run
from limpetdrift.replays.workload import Workload, read_workload


@cappa.command(name='limpet-replay', help='Replay a load in virtual time.')
@dataclass(frozen=True, kw_only=True)
class Arguments:
    """Arguments of the command line."""

    load: Annotated[str, cappa.Arg(help='The YAML file of the load.')]
    out: Annotated[
        str,
        cappa.Arg(long='--out', help='The folder for report and plots.'),
    ] = 'replay-run'
    case: Annotated[
        list[str],
        cappa.Arg(long='--case', help='Only this case; may be repeated.'),
    ] = field(default_factory=list)
    policy: Annotated[
        list[str],
        cappa.Arg(long='--policy', help='Only this policy; may be repeated.'),
    ] = field(default_factory=list)


def main() -> None:
    """Replay the load, print a report, and write it with charts."""
    arguments = cappa.parse(Arguments)
    logging.set_verbosity(logging.ERROR)
    load = choose(arguments)
    folder = Path(arguments.out)
    folder.mkdir(parents=True, exist_ok=True)
    runs = [_simulate_one(load, spec) for spec in list_runs(load)]
    report = format_report(load, runs)
    (folder / f'{load.name}.md').write_text(report, 'utf-8')
    write_charts(folder, load.name, runs)
    sys.stdout.write(report)


def choose(arguments: Arguments) -> Workload:
    """Return the load with the selected cases and policies.

    If the file or the selection is invalid, print all complaints and exit
    with status 2.
    """
    read = read_workload(arguments.load)
    if read.is_error():
        _exit_with(str(complaint) for complaint in read.error)
    load = read.ok
    unknown = set(arguments.case) - set(load.cases)
    unknown |= set(arguments.policy) - set(POLICIES)
    if unknown:
        _exit_with(f'unknown case or policy: {each}' for each in unknown)
    cases = {
        name: case
        for name, case in load.cases.items()
        if not arguments.case or name in arguments.case
    }
    policies = tuple(arguments.policy) or load.policies
    return replace(load, cases=cases, policies=policies)


def _simulate_one(load: Workload, spec: RunSpec) -> RunFigures:
    figures = compute_figures(load, simulate_run(load, spec))
    sys.stderr.write(
        f'{spec.case} {spec.policy} {spec.seed}: {figures.worth:.3f}\n',
    )
    return figures


def _exit_with(lines: Iterable[str]) -> None:
    sys.stderr.writelines(f'{line}\n' for line in lines)
    sys.exit(BAD_SETTINGS_EXIT)


if __name__ == '__main__':
    main()
