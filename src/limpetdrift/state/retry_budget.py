"""A budget that limits retries to a small share of the requests."""


class RetryBudget:
    """Each request earns a share of a retry; each retry spends a whole one.

    ``reserve`` is the first and the largest balance, in retries. It can be
    set anew, as when entries that share a reserve join or leave.

    >>> budget = RetryBudget(share=0.2, reserve=1.0)
    >>> budget.spend(), budget.spend()
    (True, False)
    """

    def __init__(self, *, share: float = 0.2, reserve: float = 20.0) -> None:
        self._share = share
        self._reserve = reserve
        self._balance = reserve

    @property
    def has_retry(self) -> bool:
        """Whether the balance allows a retry."""
        return self._balance >= 1

    def limit_balance(self, reserve: float) -> None:
        """Change the largest balance; what is above it is lost."""
        self._reserve = reserve
        self._balance = min(self._balance, reserve)

    def earn(self) -> None:
        """Add the share that a new request earns."""
        self._balance = min(self._balance + self._share, self._reserve)

    def spend(self) -> bool:
        """Spend one retry; return whether the balance allowed it."""
        if self._balance < 1:
            return False
        self._balance -= 1
        return True
