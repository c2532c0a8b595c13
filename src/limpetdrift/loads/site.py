"""The interface of an experiment to the site under test."""

import importlib
from collections.abc import Awaitable, Callable
from contextlib import AbstractContextManager
from dataclasses import dataclass

from limpetdrift.loads.experiment import Experiment, Fault
from limpetdrift.transport.messages import Address

# Takes model, prompt, output limit in tokens and answer; returns whether the
# answer is the expected one.
Checker = Callable[[str, str, int, str], bool]


class NoFaultsError(Exception):
    """The experiment didn't start the site, so it can't inject faults."""


async def no_faults(fault: Fault) -> None:
    """Raise ``NoFaultsError``."""
    raise NoFaultsError(fault.kind)


@dataclass(frozen=True, kw_only=True)
class Site:
    """A running site: addresses, keys by account, and the answer checker."""

    entries: tuple[Address, ...]
    engines: tuple[Address, ...]
    keys: dict[str, str]
    check: Checker
    inject_fault: Callable[[Fault], Awaitable[None]] = no_faults


# Opens a site whose entries use the named placement policy.
OpenSite = Callable[[Experiment, str], AbstractContextManager[Site]]


def load_checker(name: str) -> Checker:
    """Return the checker that is named as ``module:function``.

    Raises ``ImportError`` for an unknown module, and ``AttributeError`` for an
    unknown function.
    """
    module, _, function = name.partition(':')
    return getattr(importlib.import_module(module), function)
