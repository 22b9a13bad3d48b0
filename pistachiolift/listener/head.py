"""Parsing of the head of a caller's request."""

import re

import msgspec
from twisted.web.iweb import IRequest

from ..common import AuthenticationError, InvalidInputError, KindId

__all__ = [
    "DEADLINE_LIMIT_MS",
    "CallerHead",
    "parse_head",
    "parse_kind",
    "parse_request_key",
    "parse_token",
]

# A day: recalculations may wait overnight. Longer batches, such as those of a weekend,
# are jobs and not requests.
DEADLINE_LIMIT_MS = 24 * 60 * 60 * 1000

KIND_PATTERN = re.compile(r"[A-Za-z0-9][A-Za-z0-9._-]{0,63}")

# The key is also a path segment of DELETE and GET. It must not contain a slash or begin
# with a dot, because clients normalise paths.
KEY_PATTERN = re.compile(r"[A-Za-z0-9][A-Za-z0-9._~:-]{0,199}")

TOKEN_PATTERN = re.compile(r"[Bb]earer +([A-Za-z0-9._~+/-]{1,512}=*)")

DEADLINE_PATTERN = re.compile(r"[0-9]{1,9}")

# Maximum length of a rejected value in an error message.
MAX_QUOTED_CHARACTERS = 60


class CallerHead(msgspec.Struct, frozen=True, kw_only=True):
    """Values from the path and the headers of a request.

    :param token: the bearer token; must not be logged.
    :param key: the caller's identifier of the request (Idempotency-Key).
    :param deadline_ms: time from the arrival of the headers to the deadline, in
        milliseconds; ``None`` for the default of the kind.
    :param repeatable: whether the request may run more than once.
    :param resubmitted: whether the caller has sent the key before. If a first
        submission is refused, the request has certainly not run; for a resubmission
        that also depends on the outcomes of the earlier submissions.
    """

    kind: KindId
    token: str
    key: str
    deadline_ms: int | None
    repeatable: bool
    resubmitted: bool = False


def parse_head(request: IRequest, kind: str) -> CallerHead:
    """Parse the head of ``POST /v1/requests/{kind}``.

    :param request: a request whose headers are complete.
    :param kind: the kind in the path.
    :raises AuthenticationError: if the bearer token is missing or malformed.
    :raises InvalidInputError: if a value is missing or out of range.
    """
    return CallerHead(
        token=parse_token(request),
        kind=parse_kind(kind),
        key=parse_request_key(_header(request, b"Idempotency-Key")),
        deadline_ms=_parse_deadline(_header(request, b"Deadline-Ms")),
        repeatable=_parse_flag(request, "Repeatable"),
        resubmitted=_parse_flag(request, "Resubmission"),
    )


def parse_token(request: IRequest) -> str:
    """Return the bearer token.

    :raises AuthenticationError: if it is missing or malformed.
    """
    match = TOKEN_PATTERN.fullmatch(_header(request, b"Authorization") or "")
    if match is None:
        # The value may be a credential, so the message does not contain it.
        raise AuthenticationError(
            "Authorization must be 'Bearer' and a token of 1 to 512 characters"
        )
    return match[1]


def parse_kind(kind: str) -> KindId:
    """Validate and return the kind in a path.

    :raises InvalidInputError: if it is not a valid identifier.
    """
    if KIND_PATTERN.fullmatch(kind) is None:
        raise InvalidInputError(
            f"kind is {_quote(kind)}; 1 to 64 letters, digits, '.', '_' and '-' are "
            "allowed, beginning with a letter or digit"
        )
    return KindId(kind)


def parse_request_key(key: str | None) -> str:
    """Validate and return an idempotency key from a header or a path.

    :raises InvalidInputError: if it is missing or invalid.
    """
    if key is None or KEY_PATTERN.fullmatch(key) is None:
        raise InvalidInputError(
            f"Idempotency-Key is {_quote(key)}; 1 to 200 letters, digits, '.', '_', "
            "'~', ':' and '-' are allowed, beginning with a letter or digit"
        )
    return key


def _parse_deadline(value: str | None) -> int | None:
    if value is None:
        return None
    if DEADLINE_PATTERN.fullmatch(value):
        deadline_ms = int(value)
        if 1 <= deadline_ms <= DEADLINE_LIMIT_MS:
            return deadline_ms
    raise InvalidInputError(
        f"Deadline-Ms is {_quote(value)}; 1 to {DEADLINE_LIMIT_MS} milliseconds are "
        "allowed"
    )


def _parse_flag(request: IRequest, name: str) -> bool:
    """Return the value of an optional boolean header; the default is false.

    The default of Repeatable is safe for callers that do not know the header: their
    requests run at most once.
    """
    value = _header(request, name.encode())
    if value is None or value == "false":
        return False
    if value == "true":
        return True
    raise InvalidInputError(
        f"{name} is {_quote(value)}; 'true' and 'false' are allowed"
    )


def _header(request: IRequest, name: bytes) -> str | None:
    values = request.requestHeaders.getRawHeaders(name)
    if values is None:
        return None
    if len(values) > 1:
        raise InvalidInputError(
            f"{name.decode()} was sent {len(values)} times; once is allowed"
        )
    return values[0].decode("latin-1")


def _quote(value: str | None) -> str:
    if value is None:
        return "missing"
    if len(value) > MAX_QUOTED_CHARACTERS:
        value = value[:MAX_QUOTED_CHARACTERS] + "..."
    return ascii(value)
