"""Writes the results of an experiment: records, samples, report and plots."""

from collections.abc import Iterable
from pathlib import Path

from limpetdrift.loads.experiment import Experiment
from limpetdrift.loads.figures import compute_figures
from limpetdrift.loads.plots import write_plots
from limpetdrift.loads.records import RunRecord, append_run, read_runs
from limpetdrift.loads.report import format_report


def records_path(folder: Path, experiment: Experiment) -> Path:
    """Return the path of the experiment's records."""
    return folder / f'{experiment.name}.jsonl'


def save_runs(
    folder: Path,
    experiment: Experiment,
    runs: Iterable[RunRecord],
) -> None:
    """Append each run's records as it ends, then write the report and plots.

    They include the runs that earlier calls saved in the same folder.
    """
    folder.mkdir(parents=True, exist_ok=True)
    for run in runs:
        append_run(records_path(folder, experiment), run)
    write_report_and_plots(folder, experiment)


def write_report_and_plots(folder: Path, experiment: Experiment) -> Path:
    """Write report and plots from the saved records; return the report."""
    runs = read_runs(records_path(folder, experiment))
    figures = [compute_figures(experiment, run) for run in runs]
    path = folder / f'{experiment.name}.md'
    path.write_text(format_report(experiment, figures), 'utf-8')
    write_plots(folder, experiment.name, runs, figures)
    return path
