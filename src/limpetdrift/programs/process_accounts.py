"""Makes the accounts of a program's connections from its settings."""

from limpetdrift.settings import MachineLimits
from limpetdrift.transport.connection_account import (
    Accounts,
    make_accounts,
    watch_accounts,
)


def make_process_accounts(limits: MachineLimits) -> Accounts:
    """Return the accounts of a process, whose metrics show what they hold."""
    accounts = make_accounts(
        memory_bytes=int(limits.memory), descriptors=limits.descriptors
    )
    watch_accounts(accounts)
    return accounts
