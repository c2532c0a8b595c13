"""A budget that keeps retries a small share of the requests."""


class RetryBudget:
    """Each request earns a share of a retry; each retry spends a whole one.

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
        """Whether a retry could be spent now."""
        return self._balance >= 1

    def earn(self) -> None:
        """Count a new request."""
        self._balance = min(self._balance + self._share, self._reserve)

    def spend(self) -> bool:
        """Take one retry; return whether there was one left."""
        if self._balance < 1:
            return False
        self._balance -= 1
        return True
