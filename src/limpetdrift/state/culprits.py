"""Decides which keys of requests crash the endpoints that run them.

A crash counts against the keys of all requests that it cut off, and an answer
since then clears the keys of its request. Few keys are left, of which the one
that took part in most crashes explains the crashes of those beside it. The
functions depend on their arguments only, so that all entries come to the same
result from the same evidence.
"""

from collections import defaultdict
from collections.abc import Iterable, Iterator
from dataclasses import dataclass, field

# Crashes after which a key is refused: where one of them left a single request
# that may be at fault, and where each left several.
CRASH_LIMIT = 3
CRASH_LIMIT_IN_COMPANY = 5
# Crashes after which a key is suspected although it was harmless before.
REPEATED_CRASHES = 2
# Endpoints that crash within this time may have lost power together, and
# count once.
SIMULTANEOUS_SECONDS = 0.05
_FINGERPRINT_PREFIX = 'request/'


@dataclass(frozen=True, kw_only=True, slots=True)
class Crash:
    """A crash, and the keys and account of each suspected request there."""

    at: float
    suspects: tuple[tuple[str, frozenset[str]], ...]


@dataclass(frozen=True, kw_only=True, slots=True)
class Culprit:
    """Keys that crash endpoints when a request has all of them.

    They came together in each of ``crashes``, so that nothing tells which of
    them is at fault.
    """

    keys: frozenset[str]
    accounts: frozenset[str]
    crashes: int
    last_at: float

    def matches(self, account: str, keys: Iterable[str]) -> bool:
        """Return whether a request has the keys.

        What one account's requests did is not held against another's.
        """
        is_concerned = account in self.accounts or len(self.accounts) > 1
        return is_concerned and self.keys.issubset(keys)


@dataclass(frozen=True, kw_only=True, slots=True)
class Suspicion:
    """A key that may crash endpoints, and the accounts of its requests."""

    key: str
    accounts: frozenset[str]
    last_at: float

    def matches(self, account: str, keys: Iterable[str]) -> bool:
        """Return whether a request has the key."""
        is_concerned = account in self.accounts or len(self.accounts) > 1
        return is_concerned and self.key in keys


@dataclass(frozen=True, kw_only=True, slots=True)
class Assessment:
    """The keys that are refused, and those that may only run in isolation."""

    culprits: tuple[Culprit, ...] = ()
    suspicions: tuple[Suspicion, ...] = ()

    def find_culprit(
        self, account: str, keys: tuple[str, ...]
    ) -> Culprit | None:
        """Return why a request must be refused, else ``None``."""
        found = (each for each in self.culprits if each.matches(account, keys))
        return next(found, None)

    def suspected_keys(
        self, account: str, keys: tuple[str, ...]
    ) -> tuple[str, ...]:
        """Return the keys of a request for which it must run in isolation."""
        found = {
            each.key for each in self.suspicions if each.matches(account, keys)
        }
        return tuple(sorted(found))


def fingerprint_key(digest: str) -> str:
    """Return the key that stands for a whole request."""
    return f'{_FINGERPRINT_PREFIX}{digest}'


def assess(
    crashes: Iterable[Crash], known_harmless: frozenset[str]
) -> Assessment:
    """Return what the crashes say of the keys.

    ``known_harmless`` has the keys that were answered shortly before. One crash
    by itself says nothing against these, nor against a fingerprint.
    """
    unexplained = _number_clusters(crashes)
    culprits: list[Culprit] = []
    while True:
        culprit = _find_culprit(_involvements(unexplained))
        if culprit is None:
            break
        culprits.append(culprit)
        unexplained = [
            each
            for each in unexplained
            if not _is_explained(each.crash, culprit)
        ]
    suspicions = _find_suspicions(_involvements(unexplained), known_harmless)
    return Assessment(
        culprits=tuple(culprits),
        suspicions=(*_ambiguous_keys(culprits), *suspicions),
    )


@dataclass(frozen=True, kw_only=True, slots=True)
class _NumberedCrash:
    """A crash, its number, and that of its group of simultaneous ones."""

    number: int
    group: int
    crash: Crash


@dataclass(kw_only=True, slots=True)
class _Involvement:
    """The crashes in which a key took part.

    ``alone`` counts those at which one request only was a suspect.
    """

    numbers: set[int] = field(default_factory=set)
    groups: set[int] = field(default_factory=set)
    accounts: set[str] = field(default_factory=set)
    alone: int = 0
    last_at: float = 0.0

    @property
    def is_enough(self) -> bool:
        """Whether the key is to be refused."""
        crashes = len(self.groups)
        limit = CRASH_LIMIT if self.alone else CRASH_LIMIT_IN_COMPANY
        return crashes >= limit

    def add(self, numbered: _NumberedCrash, account: str) -> None:
        """Add a crash that cut off a request of an account with the key."""
        is_alone = len(numbered.crash.suspects) == 1
        self.alone += is_alone and numbered.number not in self.numbers
        self.numbers.add(numbered.number)
        self.groups.add(numbered.group)
        self.accounts.add(account)
        self.last_at = max(self.last_at, numbered.crash.at)


def _number_clusters(crashes: Iterable[Crash]) -> list[_NumberedCrash]:
    numbered: list[_NumberedCrash] = []
    group = 0
    group_at = float('-inf')
    for number, crash in enumerate(sorted(crashes, key=lambda each: each.at)):
        if crash.at > group_at + SIMULTANEOUS_SECONDS:
            group += 1
            group_at = crash.at
        numbered.append(_NumberedCrash(number=number, group=group, crash=crash))
    return numbered


def _involvements(
    crashes: Iterable[_NumberedCrash],
) -> dict[str, _Involvement]:
    found: dict[str, _Involvement] = defaultdict(_Involvement)
    for numbered in crashes:
        for account, keys in numbered.crash.suspects:
            for key in keys:
                found[key].add(numbered, account)
    return found


def _find_culprit(involvements: dict[str, _Involvement]) -> Culprit | None:
    """Return the key to refuse that took part in most crashes, if any."""
    refused = [key for key, each in involvements.items() if each.is_enough]
    if not refused:
        return None
    top = max(
        refused,
        key=lambda key: (
            len(involvements[key].groups),
            involvements[key].alone,
            key,
        ),
    )
    involvement = involvements[top]
    return Culprit(
        keys=frozenset(
            key
            for key, other in involvements.items()
            if other.numbers == involvement.numbers
        ),
        accounts=frozenset(involvement.accounts),
        crashes=len(involvement.groups),
        last_at=involvement.last_at,
    )


def _is_explained(crash: Crash, culprit: Culprit) -> bool:
    return any(culprit.keys.issubset(keys) for _, keys in crash.suspects)


def _ambiguous_keys(culprits: Iterable[Culprit]) -> Iterator[Suspicion]:
    """Yield the keys that are refused together with others only."""
    for culprit in culprits:
        if len(culprit.keys) == 1:
            continue
        for key in culprit.keys:
            if not key.startswith(_FINGERPRINT_PREFIX):
                yield Suspicion(
                    key=key, accounts=culprit.accounts, last_at=culprit.last_at
                )


def _find_suspicions(
    involvements: dict[str, _Involvement], known_harmless: frozenset[str]
) -> Iterator[Suspicion]:
    for key, involvement in involvements.items():
        is_first = len(involvement.groups) < REPEATED_CRASHES
        is_trusted = key in known_harmless or key.startswith(
            _FINGERPRINT_PREFIX
        )
        if not (is_first and is_trusted):
            yield Suspicion(
                key=key,
                accounts=frozenset(involvement.accounts),
                last_at=involvement.last_at,
            )
