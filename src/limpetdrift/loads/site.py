"""The site under test, as an experiment reaches it."""

import importlib
from collections.abc import Awaitable, Callable
from contextlib import AbstractContextManager
from dataclasses import dataclass

from limpetdrift.loads.experiment import Experiment, Fault
from limpetdrift.transport.messages import Address

# Takes model, prompt, output limit and answer; tells whether it is whole.
Checker = Callable[[str, str, int, str], bool]


class NoFaultsError(Exception):
    """The site was not started here, so nothing in it can be made to fail."""


async def no_faults(fault: Fault) -> None:
    """Refuse a fault."""
    raise NoFaultsError(fault.kind)


@dataclass(frozen=True, kw_only=True)
class Site:
    """A running site: addresses, a key for each account, and its checker."""

    entries: tuple[Address, ...]
    engines: tuple[Address, ...]
    keys: dict[str, str]
    check: Checker
    inject_fault: Callable[[Fault], Awaitable[None]] = no_faults


# Opens a site whose entries use the policy of that name.
OpenSite = Callable[[Experiment, str], AbstractContextManager[Site]]


def load_checker(name: str) -> Checker:
    """Return the checker that ``module:function`` names."""
    module, _, function = name.partition(':')
    return getattr(importlib.import_module(module), function)
