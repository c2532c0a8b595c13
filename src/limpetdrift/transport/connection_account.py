"""Accounts for the memory and the descriptors of a process's connections.

Each connection counts from its acceptance on, and each part of a request's body
before it is read. What is passed on stays in the account until it has been
answered. When the account is full, ``shedding`` decides which connection makes
room, and whether the one that asks is refused.
"""

import math
from dataclasses import dataclass
from functools import partial
from typing import Protocol

import trio

from limpetdrift import telemetry
from limpetdrift.logs import note, warn
from limpetdrift.supervision import run_contained
from limpetdrift.transport.heap import return_free_memory
from limpetdrift.transport.shedding import ConnectionUsage, choose_to_shed

# What a connection counts for: its objects, a head, a short body, and the
# bytes that its socket has received and that are not read yet.
CONNECTION_BYTES = 65_536
# Memory that a process needs without connections.
PROCESS_BYTES = 64_000_000
# Share of the rest that connections may take. Buffers that are copied once, and
# free parts of the heap, take up some more.
CONNECTIONS_SHARE = 0.6
# Holds a body of the usual limit with its copy, whatever the machine has.
MIN_ACCOUNT_BYTES = 12_000_000
# Share of callers in memory; peers, probes and metrics have the rest, since an
# entry that plans has a connection for each prompt that waits at any entry.
CALLERS_MEMORY_SHARE = 0.5
# Share of each account in descriptors; the process's own calls have the rest.
DESCRIPTORS_SHARE = 0.375
# Descriptors that the platform reserves for files.
FILE_DESCRIPTORS = 200
MIN_CONNECTIONS = 16
# Free memory is returned to the system once less than ``_LOW_SHARE`` of the
# account is used, after more than ``_FILLED_SHARE`` was.
_FILLED_SHARE = 0.25
_LOW_SHARE = 0.125
_RETURN_DELAY_SECONDS = 1.0
# Share of an account in which long bodies have room, and that which they get
# in place of idle connections.
_BODIES_SHARE = 0.75
_BODIES_MINIMUM_SHARE = 0.25
# An account that was full is crowded until it has room for this share more.
_SPARE_SHARE = 0.25


class Holder(Protocol):
    """A connection, as its account sees it."""

    def usage(self) -> ConnectionUsage:
        """Return what the connection holds."""

    def shed(self) -> None:
        """Drop what was received, and close the connection soon."""


@dataclass(frozen=True, kw_only=True, slots=True)
class AccountLimits:
    """The memory, in bytes, and the number of connections of an account.

    ``name`` is that of the account in logs and metrics.
    """

    name: str = 'connections'
    memory_bytes: float = math.inf
    connections: float = math.inf

    @property
    def largest_body(self) -> float:
        """The length of a body for which the empty account has room."""
        return self.bodies_bytes - 2 * CONNECTION_BYTES

    @property
    def bodies_bytes(self) -> float:
        """The memory in which long bodies have room beside connections.

        The rest is for ordinary requests, also while long ones are served.
        """
        return _BODIES_SHARE * self.memory_bytes

    @property
    def bodies_minimum(self) -> float:
        """The memory of long bodies for which idle connections make room."""
        return _BODIES_MINIMUM_SHARE * self.memory_bytes


class ConnectionAccount:
    """The connections of one or more servers, and the memory that they hold.

    ``parse_turn`` is held while a part of a long body is parsed, so that one
    of them at most delays the other tasks in each pass of the event loop, and
    ``head_turn`` while a head of many lines is, which takes longer.
    """

    def __init__(self, *, limits: AccountLimits | None = None) -> None:
        self.parse_turn = trio.Lock()
        self.head_turn = trio.Lock()
        self._limits = limits or AccountLimits()
        self._used_bytes = 0
        # In the order in which they were accepted.
        self._holders: dict[Holder, None] = {}
        self._is_full = False
        self._is_crowded = False
        self._was_filled = False

    @property
    def used_bytes(self) -> int:
        """The memory that all connections hold."""
        return self._used_bytes

    @property
    def connections(self) -> int:
        """The number of open connections."""
        return len(self._holders)

    @property
    def is_crowded(self) -> bool:
        """Whether connections close after a request, to leave their place.

        Callers that always have another request would keep all others out.
        """
        return self._is_crowded

    @property
    def limits(self) -> AccountLimits:
        """The limits of the account."""
        return self._limits

    def open(self, holder: Holder) -> bool:
        """Count a connection; return whether there is room for it."""
        while not self._has_room(CONNECTION_BYTES, connections=1):
            if not self._shed_other(holder, CONNECTION_BYTES, closes_idle=True):
                self._record_full('refused', holder)
                return False
        self._holders[holder] = None
        self._charge(CONNECTION_BYTES)
        return True

    def close(self, holder: Holder, held_bytes: int) -> None:
        """Remove a connection with all that it holds, unless it was shed."""
        if holder in self._holders:
            self._holders.pop(holder)
            self.release(held_bytes)

    def reserve(
        self, holder: Holder, amount: int, *, for_answer: bool = False
    ) -> bool:
        """Count more bytes of a request; return whether there is room.

        An answer without room is passed on as its peer reads it, so that no
        idle connection is closed ``for_answer``.
        """
        while self._used_bytes + amount > self._limits.bodies_bytes:
            requested = holder.usage().held_bytes + amount
            body_bytes = (
                self._used_bytes - len(self._holders) * CONNECTION_BYTES
            )
            has_share = body_bytes + amount > self._limits.bodies_minimum
            if not self._shed_other(
                holder, requested, closes_idle=not (for_answer or has_share)
            ):
                if for_answer:
                    telemetry.count(
                        'answers_without_room', account=self._limits.name
                    )
                else:
                    self._record_full('refused', holder)
                return False
        self._charge(amount)
        return True

    def charge_answer(self, holder: Holder, amount: int) -> None:
        """Count bytes that can't be refused, and close others for them."""
        self._charge(amount)
        while not self._has_room(0):
            if not self._shed_other(holder, amount, closes_idle=False):
                return

    def release(self, amount: int) -> None:
        """Count bytes no longer."""
        self._used_bytes -= amount
        if self._is_crowded:
            self._is_crowded = not self._has_room(
                int(_SPARE_SHARE * self._used_bytes),
                connections=1 + int(_SPARE_SHARE * len(self._holders)),
            )
        if self._used_bytes > _LOW_SHARE * self._limits.memory_bytes:
            return
        if self._is_full and self._has_room(CONNECTION_BYTES, connections=1):
            self._is_full = False
            note('connections have room again', account=self._limits.name)
        if self._was_filled:
            self._was_filled = False
            trio.lowlevel.spawn_system_task(_return_memory_later)

    def _charge(self, amount: int) -> None:
        self._used_bytes += amount
        if self._used_bytes > _FILLED_SHARE * self._limits.memory_bytes:
            self._was_filled = True

    def _has_room(self, amount: int, *, connections: int = 0) -> bool:
        limits = self._limits
        return (
            self._used_bytes + amount <= limits.memory_bytes
            and len(self._holders) + connections <= limits.connections
        )

    def _shed_other(
        self, holder: Holder, requested_bytes: int, *, closes_idle: bool
    ) -> bool:
        """Close another connection; return whether there was one to close."""
        chosen = choose_to_shed(
            (
                (each, each.usage())
                for each in self._holders
                if each is not holder
            ),
            requested_bytes=requested_bytes,
            closes_idle=closes_idle,
            now=trio.current_time(),
        )
        if chosen is None:
            return False
        self._record_full('shed', chosen)
        held_bytes = chosen.usage().held_bytes
        chosen.shed()
        self.close(chosen, held_bytes)
        return True

    def _record_full(self, action: str, holder: Holder) -> None:
        telemetry.count(
            'connections_over_account',
            account=self._limits.name,
            action=action,
            phase=holder.usage().phase.value,
        )
        self._is_crowded = True
        if not self._is_full:
            self._is_full = True
            warn(
                'connections have no room',
                account=self._limits.name,
                used_bytes=self._used_bytes,
                connections=len(self._holders),
            )


@dataclass(frozen=True, kw_only=True, slots=True)
class Accounts:
    """The accounts of one process.

    ``callers`` is for all that callers connect to, ``internal`` for peers,
    operators and probes, whom callers can't keep out.
    """

    callers: ConnectionAccount
    internal: ConnectionAccount


def make_accounts(*, memory_bytes: int, descriptors: int) -> Accounts:
    """Divide the memory and the descriptors of a process's machine.

    >>> make_accounts(
    ...     memory_bytes=300_000_000, descriptors=4200
    ... ).callers.limits.connections
    1500
    """
    memory = max(
        MIN_ACCOUNT_BYTES,
        int((memory_bytes - PROCESS_BYTES) * CONNECTIONS_SHARE),
    )
    callers_memory = int(memory * CALLERS_MEMORY_SHARE)
    sockets = max(0, descriptors - FILE_DESCRIPTORS)
    connections = max(MIN_CONNECTIONS, int(sockets * DESCRIPTORS_SHARE))
    return Accounts(
        callers=ConnectionAccount(
            limits=AccountLimits(
                name='callers',
                memory_bytes=callers_memory,
                connections=connections,
            ),
        ),
        internal=ConnectionAccount(
            limits=AccountLimits(
                name='internal',
                memory_bytes=memory - callers_memory,
                connections=connections,
            ),
        ),
    )


def watch_accounts(accounts: Accounts) -> None:
    """Register gauges of what the accounts hold, and of their limits."""
    for account in (accounts.callers, accounts.internal):
        limits = account.limits
        name = f'connections_{limits.name}'
        telemetry.watch(f'{name}_bytes', partial(_used_bytes, account))
        telemetry.watch(f'{name}_open', partial(_connections, account))
        telemetry.watch(
            f'{name}_bytes_limit', partial(float, limits.memory_bytes)
        )
        telemetry.watch(
            f'{name}_open_limit', partial(float, limits.connections)
        )


def _used_bytes(account: ConnectionAccount) -> float:
    return account.used_bytes


def _connections(account: ConnectionAccount) -> float:
    return account.connections


async def _return_memory_later() -> None:
    # The connections that gave it back still end meanwhile.
    await trio.sleep(_RETURN_DELAY_SECONDS)
    await run_contained('heap', _return_memory)


async def _return_memory() -> None:
    return_free_memory()
    await trio.lowlevel.checkpoint()
