"""Draws plots of a replay as PNG files; needs the ``report`` extra."""

from collections.abc import Callable, Sequence
from pathlib import Path

from limpetdrift.loads.plots import make_figure, save_figure
from limpetdrift.replays.figures import RunFigures
from limpetdrift.replays.report import group_runs

_LABEL_ROTATION_DEGREES = 30
_CHARTS: dict[str, tuple[str, Callable[[RunFigures], float]]] = {
    'worth': ('worth, share of what could be had', lambda run: run.worth),
    'reachable': (
        'worth, share of what was reachable',
        lambda run: run.worth / run.shares.reachable,
    ),
    'worst-window': ('worth of the worst window', lambda run: run.worst_window),
}


def write_charts(
    folder: Path,
    prefix: str,
    runs: Sequence[RunFigures],
) -> tuple[Path, ...]:
    """Plot each figure by case, a point per seed and a colour per policy."""
    paths = []
    for name, (label, read) in _CHARTS.items():
        path = folder / f'{prefix}-{name}.png'
        _draw(path, label, read, runs)
        paths.append(path)
    return tuple(paths)


def _draw(
    path: Path,
    label: str,
    read: Callable[[RunFigures], float],
    runs: Sequence[RunFigures],
) -> None:
    groups = group_runs(runs)
    policies = list(dict.fromkeys(group.policy for group in groups))
    figure = make_figure()
    axes = figure.add_subplot()
    for policy in policies:
        points = [
            (group.case, read(run))
            for group in groups
            if group.policy == policy
            for run in group.runs
        ]
        cases, shares = zip(*points, strict=True)
        axes.plot(cases, shares, '.', label=policy)
    axes.set_ylabel(label)
    axes.tick_params(axis='x', rotation=_LABEL_ROTATION_DEGREES)
    axes.legend(fontsize='small')
    save_figure(figure, path)
