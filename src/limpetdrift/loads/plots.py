"""Draws plots of an experiment as PNG files; needs the ``report`` extra."""

from collections.abc import Iterable, Sequence
from pathlib import Path

from matplotlib.backends.backend_agg import FigureCanvasAgg
from matplotlib.figure import Figure

from limpetdrift.loads.figures import TAIL_PERCENTILE, RunFigures
from limpetdrift.loads.records import RunRecord
from limpetdrift.loads.report import Group, group_runs

_SIZE_INCHES = (6.4, 3.6)
_DOTS_PER_INCH = 80


def write_plots(
    folder: Path,
    prefix: str,
    runs: Sequence[RunRecord],
    figures: Sequence[RunFigures],
) -> tuple[Path, ...]:
    """Write all plots of an experiment; return their paths."""
    groups = group_runs(figures)
    folder.mkdir(parents=True, exist_ok=True)
    plots = {
        'first-token': _draw_first_tokens(groups),
        'slowdown': _draw_slowdowns(groups),
        'over-time': _draw_over_time(_runs_of_first_long_case(runs)),
    }
    paths = []
    for name, figure in plots.items():
        path = folder / f'{prefix}-{name}.png'
        save_figure(figure, path)
        paths.append(path)
    return tuple(paths)


def save_figure(figure: Figure, path: Path) -> None:
    """Write a figure as a PNG file."""
    FigureCanvasAgg(figure).print_png(path)


def _draw_first_tokens(groups: Iterable[Group]) -> Figure:
    figure = make_figure()
    axes = figure.add_subplot()
    for group in groups:
        points = _median_tail_by_length(group.with_long)
        axes.plot(*zip(*points, strict=True), marker='o', label=_label(group))
    axes.set_xscale('log')
    axes.set_yscale('log')
    axes.set_xlabel('prompt tokens')
    axes.set_ylabel('p95 time to first token, s')
    axes.legend(fontsize='small')
    return figure


def _median_tail_by_length(runs: list[RunFigures]) -> list[tuple[int, float]]:
    points = []
    for tokens in sorted({each for run in runs for each in run.lengths}):
        times = [
            run.lengths[tokens].first_token.at.get(TAIL_PERCENTILE)
            for run in runs
            if tokens in run.lengths
        ]
        present = sorted(each for each in times if each is not None)
        if present:
            points.append((tokens, present[len(present) // 2]))
    return points or [(1, 1.0)]


def _draw_slowdowns(groups: Iterable[Group]) -> Figure:
    figure = make_figure()
    axes = figure.add_subplot()
    for position, group in enumerate(groups):
        ratios = group.slowdowns
        positions = [position for _ in ratios]
        axes.scatter(positions, ratios, label=_label(group))
    axes.set_xticks([])
    axes.axhline(1, linewidth=0.5)
    axes.set_ylabel('short p95 with long by without')
    axes.legend(fontsize='small')
    return figure


def _draw_over_time(runs: Iterable[RunRecord]) -> Figure:
    figure = make_figure()
    queue, memory = figure.subplots(2, sharex=True)
    for run in runs:
        times = [each.at for each in run.samples]
        in_flight = [each.in_flight for each in run.samples]
        held_shares = [
            each.held_tokens / max(1, each.memory_tokens)
            for each in run.samples
        ]
        queue.plot(times, in_flight, label=run.case.policy)
        memory.plot(times, held_shares)
    queue.set_ylabel('requests in flight')
    memory.set_ylabel('memory held')
    memory.set_xlabel('s')
    queue.legend(fontsize='small')
    return figure


def _runs_of_first_long_case(runs: Sequence[RunRecord]) -> list[RunRecord]:
    cases = [run.case for run in runs if run.case.with_long]
    if not cases:
        return []
    load_and_seed = (cases[0].load, cases[0].seed)
    return [
        run
        for run in runs
        if run.case.with_long
        and (run.case.load, run.case.seed) == load_and_seed
    ]


def _label(group: Group) -> str:
    load = format(group.load, '.0%')
    return f'{group.policy} at {load}'


def make_figure() -> Figure:
    """Return an empty figure of the size that reports use."""
    return Figure(
        figsize=_SIZE_INCHES,
        dpi=_DOTS_PER_INCH,
        layout='constrained',
    )
