"""What is asked of plain services' callers, and of each other."""

from dataclasses import dataclass

from limpetdrift.transport.messages import Request

FOLLOW_PATH = 'services/follow'


@dataclass(frozen=True, kw_only=True, slots=True)
class ServiceRequest:
    """An admitted call to a plain service.

    ``handle`` is the request key that the service sees, ``key`` the caller's
    idempotency key or empty. ``deadline`` is in trio time;
    ``attempt_seconds`` bounds each attempt. ``fingerprint`` identifies the
    call within the account.
    """

    handle: str
    key: str
    account: str
    service: str
    request: Request
    fingerprint: str
    repeatable: bool
    deadline: float
    attempt_seconds: float

    @property
    def scoped_key(self) -> str:
        """The key of its claim, apart from those of other services."""
        return f'{self.service}/{self.key}'


@dataclass(frozen=True, kw_only=True, slots=True)
class FollowRequest:
    """Asks an owner to answer when a call of its own has ended."""

    stream_id: str
    wait_seconds: float


@dataclass(frozen=True, kw_only=True, slots=True)
class FollowReply:
    """Whether the call has ended; one that isn't known has."""

    ended: bool
