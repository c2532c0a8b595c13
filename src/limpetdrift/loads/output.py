"""Writes what an experiment leaves: records, samples, report and plots."""

from collections.abc import Iterable
from pathlib import Path

from limpetdrift.loads.experiment import Experiment
from limpetdrift.loads.figures import compute_figures
from limpetdrift.loads.plots import write_plots
from limpetdrift.loads.records import RunRecord, append_run, read_runs
from limpetdrift.loads.report import format_report


def records_path(folder: Path, experiment: Experiment) -> Path:
    """Return the file of the experiment's records."""
    return folder / f'{experiment.name}.jsonl'


def save_runs(
    folder: Path,
    experiment: Experiment,
    runs: Iterable[RunRecord],
) -> None:
    """Write each run as it ends, then the report over all that are kept.

    Runs of an earlier call in the same folder count with these.
    """
    folder.mkdir(parents=True, exist_ok=True)
    for run in runs:
        append_run(records_path(folder, experiment), run)
    write_outcome(folder, experiment)


def write_outcome(folder: Path, experiment: Experiment) -> Path:
    """Write report and plots from the records in the folder."""
    runs = read_runs(records_path(folder, experiment))
    figures = [compute_figures(experiment, run) for run in runs]
    path = folder / f'{experiment.name}.md'
    path.write_text(format_report(experiment, figures), 'utf-8')
    write_plots(folder, experiment.name, runs, figures)
    return path
