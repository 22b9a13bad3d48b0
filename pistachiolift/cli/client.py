"""The HTTP client of the commands."""

import logging
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, replace
from io import BytesIO
from pathlib import Path
from typing import TypeVar

import click
import treq
from OpenSSL import SSL
from twisted.internet import error as twisted_error
from twisted.internet.defer import CancelledError, TimeoutError, ensureDeferred
from twisted.internet.interfaces import IReactorCore
from twisted.internet.ssl import Certificate, trustRootFromCertificates
from twisted.internet.task import Cooperator
from twisted.web.client import (
    Agent,
    BrowserLikePolicyForHTTPS,
    FileBodyProducer,
    HTTPConnectionPool,
    RequestGenerationFailed,
    RequestTransmissionFailed,
    ResponseFailed,
)

from ..common import ErrorCode, encode_json
from .answers import Answer
from .errors import ClientErrorCode, CommandError
from .exit_codes import ExitCode
from .loop import run_on_loop

__all__ = ["ApiClient", "Connection", "run_with_client"]

logger = logging.getLogger(__name__)

T = TypeVar("T")

CONNECT_TIMEOUT_S = 2.0

# Failures before anything was sent, and those after which a part of the call may
# have been sent.
NOT_SENT_ERRORS = (
    twisted_error.ConnectError,
    twisted_error.ConnectingCancelledError,
    twisted_error.DNSLookupError,
)
MAYBE_SENT_ERRORS = (
    ResponseFailed,
    RequestGenerationFailed,
    RequestTransmissionFailed,
    twisted_error.ConnectionClosed,
    SSL.Error,
    OSError,
)


@dataclass(frozen=True, slots=True, kw_only=True)
class Connection:
    """Where to send calls and as whom.

    :param urls: base URLs of instances, in the order of preference.
    :param token: bearer token; empty for none. Never shown.
    :param timeout_s: seconds until a call without an answer fails.
    :param author: name under which changes are recorded; empty for the default.
    :param ca_file: certificates (PEM) that sign those of the instances, instead of
        the system's.
    """

    urls: tuple[str, ...]
    token: str
    timeout_s: float
    author: str = ""
    ca_file: Path | None = None

    def __repr__(self) -> str:
        return f"Connection(urls={self.urls!r})"


class _NotSentError(Exception):
    """The connection failed before anything was sent."""


class _MaybeSentError(Exception):
    """The connection broke, or no answer came in time, after something was sent."""


class ApiClient:
    """Sends calls to the first instance that can be reached.

    :param reactor: Twisted's reactor.
    """

    def __init__(self, reactor: IReactorCore, connection: Connection):
        self.reactor = reactor
        self.urls = connection.urls
        self.change_in_flight = False
        self._connection = connection
        # A new connection for each call: a broken idle one would leave the outcome
        # of a change open.
        self._agent = Agent(
            reactor,
            contextFactory=_tls_policy(connection.ca_file),
            connectTimeout=CONNECT_TIMEOUT_S,
            pool=HTTPConnectionPool(reactor, persistent=False),
        )

    async def read(self, path: str, *, url: str | None = None) -> Answer:
        """Read a document.

        :param url: ask this instance only.
        :raises CommandError: if the instance reports an error or none answers.
        """
        return await self._call("GET", path, urls=(url,) if url else self.urls)

    async def query(self, path: str, query: object) -> Answer:
        """Read the document that a query in the body selects."""
        return await self._call("POST", path, body=encode_json(query))

    async def change(
        self,
        method: str,
        path: str,
        *,
        body: bytes | None = None,
        headers: dict[str, str] | None = None,
        identifier: str | None = None,
        url: str | None = None,
        timeout_s: float | None = None,
    ) -> Answer:
        """Send a call that changes something.

        After a failure that leaves its outcome open, it is sent again only if it
        carries an identifier by which the instances recognise a repetition.

        :param identifier: the identifier as the operator would repeat it, such as
            ``--change-id 42``; ``None`` if the call has none.
        :raises CommandError: also if the outcome is not known.
        """
        self.change_in_flight = True
        try:
            return await self._call(
                method,
                path,
                body=body,
                headers=headers,
                urls=(url,) if url else self.urls,
                is_change=True,
                identifier=identifier,
                timeout_s=timeout_s,
            )
        finally:
            self.change_in_flight = False

    async def _call(
        self,
        method: str,
        path: str,
        *,
        body: bytes | None = None,
        headers: dict[str, str] | None = None,
        urls: tuple[str, ...] | None = None,
        is_change: bool = False,
        identifier: str | None = None,
        timeout_s: float | None = None,
    ) -> Answer:
        failures: list[str] = []
        may_have_run = False
        for url in urls or self.urls:
            try:
                answer = await self._exchange(
                    method, url + path, body, headers or {}, timeout_s
                )
                answer = replace(answer, is_change=is_change)
            except _NotSentError as failure:
                failures.append(f"{url}: {failure}")
                continue
            except _MaybeSentError as failure:
                failures.append(f"{url}: {failure}")
                may_have_run = is_change
                if is_change and identifier is None:
                    break
                continue
            error = answer.error()
            if error is None:
                return answer
            if may_have_run:
                # The refusal of a repetition leaves the first attempt's outcome open.
                failures.append(f"{url}: {error.format_message()}")
                raise _unknown_outcome_error(failures, identifier)
            raise error
        if may_have_run:
            raise _unknown_outcome_error(failures, identifier)
        raise CommandError(
            ClientErrorCode.UNREACHABLE.value,
            "; ".join(failures),
            exit_code=ExitCode.UNREACHABLE,
        )

    async def _exchange(
        self,
        method: str,
        url: str,
        body: bytes | None,
        headers: dict[str, str],
        timeout_s: float | None,
    ) -> Answer:
        call = ensureDeferred(self._send(method, url, body, headers))
        timeout_s = timeout_s or self._connection.timeout_s
        call.addTimeout(timeout_s, self.reactor)
        try:
            return await call
        except TimeoutError as failure:
            raise _MaybeSentError(f"no answer within {timeout_s:g} s") from failure

    async def _send(
        self, method: str, url: str, body: bytes | None, headers: dict[str, str]
    ) -> Answer:
        try:
            response = await treq.request(
                method,
                url,
                headers={**self._headers(), **headers},
                data=None if body is None else self._producer(body),
                agent=self._agent,
                reactor=self.reactor,
                allow_redirects=False,
            )
            content = await treq.content(response)
        except NOT_SENT_ERRORS as failure:
            raise _NotSentError(type(failure).__name__) from failure
        except MAYBE_SENT_ERRORS as failure:
            if _is_certificate_rejected(failure):
                raise _NotSentError("its certificate is not trusted") from failure
            raise _MaybeSentError(_reason(failure)) from failure
        answer_headers = {
            name.decode("latin-1").lower(): values[-1].decode("latin-1")
            for name, values in response.headers.getAllRawHeaders()
        }
        return Answer(url, response.code, answer_headers, content)

    def _headers(self) -> dict[str, str]:
        headers = {}
        if self._connection.token:
            headers["Authorization"] = f"Bearer {self._connection.token}"
        if self._connection.author:
            headers["Operator"] = self._connection.author
        return headers

    def _producer(self, body: bytes) -> FileBodyProducer:
        # The default cooperator belongs to the process-wide reactor.
        cooperator = Cooperator(
            scheduler=lambda step: self.reactor.callLater(0, step), started=True
        )
        return FileBodyProducer(BytesIO(body), cooperator=cooperator)


def _tls_policy(ca_file: Path | None) -> BrowserLikePolicyForHTTPS:
    if ca_file is None:
        return BrowserLikePolicyForHTTPS()
    certificate = Certificate.loadPEM(ca_file.read_bytes())
    return BrowserLikePolicyForHTTPS(trustRootFromCertificates([certificate]))


def _causes(failure: Exception) -> list[Exception]:
    reasons = getattr(failure, "reasons", None)
    return [failure] if reasons is None else [each.value for each in reasons]


def _is_certificate_rejected(failure: Exception) -> bool:
    """Return whether the TLS handshake failed, before any of the call was sent."""
    return any(
        isinstance(each, SSL.Error) and "certificate verify failed" in str(each)
        for each in _causes(failure)
    )


def _reason(failure: Exception) -> str:
    causes = _causes(failure)
    if any(isinstance(each, CancelledError) for each in causes):
        return "no answer within the time limit"
    return "connection broke: " + ", ".join(type(each).__name__ for each in causes)


def _unknown_outcome_error(failures: list[str], identifier: str | None) -> CommandError:
    message = "; ".join(failures) + "; it may have been carried out"
    if identifier is not None:
        message += f"; repeat it with {identifier}"
    return CommandError(
        ClientErrorCode.NO_ANSWER.value, message, exit_code=ExitCode.UNKNOWN_OUTCOME
    )


def run_with_client(
    connection: Connection, work: Callable[[ApiClient], Awaitable[T]]
) -> T:
    """Run a command's work with a client on the event loop.

    :raises CommandError: what ``work`` raises; if it was interrupted, with exit code
        ``UNKNOWN_OUTCOME`` while a change was under way.
    """
    clients: list[ApiClient] = []

    async def run(reactor: IReactorCore) -> T:
        clients.append(ApiClient(reactor, connection))
        try:
            return await work(clients[0])
        except click.ClickException:
            raise
        except Exception as error:
            # The exit code of a traceback, 1, would mean that nothing was carried out.
            logger.debug("event=command_failed", exc_info=True)
            raise CommandError(
                ErrorCode.INTERNAL.value,
                f"{type(error).__name__}: {error}; --log-level DEBUG shows more",
                exit_code=ExitCode.UNKNOWN_OUTCOME,
            ) from error

    def make_interrupted_error() -> CommandError:
        in_flight = bool(clients) and clients[0].change_in_flight
        return CommandError(
            ClientErrorCode.INTERRUPTED.value,
            "interrupted; it may have been carried out" if in_flight else "interrupted",
            exit_code=(ExitCode.UNKNOWN_OUTCOME if in_flight else ExitCode.INTERRUPTED),
        )

    return run_on_loop(run, make_interrupted_error=make_interrupted_error)
