"""The error for a request that a server refuses before it is served."""

BAD_REQUEST = 400
REQUEST_TIMEOUT = 408
BODY_TOO_LARGE = 413
HEADERS_TOO_LARGE = 431
NOT_IMPLEMENTED = 501
VERSION_NOT_SUPPORTED = 505


class BadInputError(Exception):
    """A request exceeds a limit or breaks the protocol, and has not run.

    ``status`` is the HTTP status to respond with.
    """

    def __init__(self, status: int, detail: str) -> None:
        super().__init__(detail)
        self.status = status
