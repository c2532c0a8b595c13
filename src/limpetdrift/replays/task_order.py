"""Makes trio run tasks in an order that depends on a seed only.

By default trio shuffles each batch of runnable tasks with a generator of its
own, and the batch itself is in an order that depends on the addresses of
objects, so on what ran in the process before.
"""

import trio


def seed_task_order(seed: int) -> None:
    """Seed the order of tasks for the runs of trio that follow.

    It holds for the whole process. Trio offers this to Hypothesis only, so it
    is set in its module.
    """
    trio._core._run._ALLOW_DETERMINISTIC_SCHEDULING = True
    trio._core._run._r.seed(seed)
