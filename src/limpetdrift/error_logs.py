"""Logs unexpected errors, each as one line that holds its traceback.

An exception group has no line of its own: each of its leaves has one, with the
task that raised it. Trio cuts a traceback off at the function that it started
as a task, so its first frame names the task.
"""

from collections.abc import Iterator

from limpetdrift import logs


def log_error(message: str, error: BaseException, **fields: object) -> None:
    """Log one error with its type, text and traceback, and named fields."""
    logs.fail(
        message,
        error,
        error_type=type(error).__name__,
        detail=str(error),
        **fields,
    )


def log_leaves(
    message: str, error: BaseException, task: str = '', **fields: object
) -> None:
    """Log each leaf of an error under the names of the tasks it went through.

    The names go from the outer task to the one that raised it; ``task`` stands
    for the one in which ``error`` was caught.
    """
    for leaf, tasks in _leaves(error, (task,) if task else ()):
        log_error(message, leaf, task=' > '.join(tasks), **fields)


def leaf_type(error: BaseException) -> str:
    """Return the type of the first leaf, as a label of a metric."""
    while isinstance(error, BaseExceptionGroup):
        error = error.exceptions[0]
    return type(error).__name__


def _leaves(
    error: BaseException, tasks: tuple[str, ...]
) -> Iterator[tuple[BaseException, tuple[str, ...]]]:
    """Yield the leaves of an error, each with the names of its tasks."""
    tasks = tasks or (_task_name(error),)
    if not isinstance(error, BaseExceptionGroup):
        yield error, tasks
        return
    for part in error.exceptions:
        name = _task_name(part)
        is_new = name and name != tasks[-1]
        yield from _leaves(part, (*tasks, name) if is_new else tasks)


def _task_name(error: BaseException) -> str:
    """Return the function in which a traceback begins, empty without one."""
    traceback = error.__traceback__
    if traceback is None:
        return ''
    frame = traceback.tb_frame
    module = frame.f_globals.get('__name__', '')
    function = frame.f_code.co_qualname
    return f'{module}.{function}'
