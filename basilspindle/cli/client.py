"""Call daemons over HTTP, trying the next one where a retry is safe."""

import collections.abc
import typing

import httpx
import msgspec

from basilspindle import decoding
from basilspindle import errors

_CONNECT_TIMEOUT_S = 3.0
_NOT_SENT = (
    httpx.ConnectError,
    httpx.ConnectTimeout,
    httpx.InvalidURL,
    httpx.PoolTimeout,
    httpx.UnsupportedProtocol,
)
# Refusals that depend on the state of one daemon. None of them ran work.
_DAEMON_REFUSALS = frozenset(
    {errors.NotReady.kind, errors.ConfigurationStale.kind}
)
_TRY_NEXT_KINDS = _DAEMON_REFUSALS | {errors.DaemonUnreachable.kind}
_CONFLICT_KINDS = frozenset(
    {errors.VersionConflict.kind, errors.KeyReused.kind}
)


class _ErrorBody(msgspec.Struct, kw_only=True):
    kind: str
    message: str
    remedy: str | None = None
    ran: errors.Ran = errors.Ran.UNKNOWN
    retry_after_ms: int | None = 0
    job_id: str | None = ''


class _ErrorResponse(msgspec.Struct):
    error: _ErrorBody


class Client:
    """Send requests to the first daemon that accepts them."""

    __slots__ = ('_urls', '_http')

    def __init__(
        self,
        urls: collections.abc.Sequence[str],
        key: str,
        timeout_ms: int,
        transport: httpx.BaseTransport | None = None,
    ) -> None:
        self._urls = [url.rstrip('/') for url in urls]
        headers = {'Authorization': f'Bearer {key}'} if key else {}
        # Ignore proxies from the environment: daemons are called directly,
        # and a proxy would see the key.
        self._http = httpx.Client(
            headers=headers,
            timeout=httpx.Timeout(
                timeout_ms / 1000, connect=_CONNECT_TIMEOUT_S
            ),
            transport=transport,
            trust_env=False,
        )

    def __enter__(self) -> typing.Self:
        return self

    def __exit__(self, *exc_info: object) -> None:
        self._http.close()

    def call(
        self,
        method: str,
        path: str,
        *,
        retryable: bool,
        body: typing.Any = None,
        params: dict[str, typing.Any] | None = None,
        headers: dict[str, str] | None = None,
    ) -> typing.Any:
        """Send a request to the daemons in order; return the decoded response.

        A request that is not ``retryable`` is never sent again once a daemon
        may have received it. Raises ``DaemonUnreachable`` if no daemon can
        be reached or the response to a GET was lost, ``OutcomeUnknown`` if
        another response was lost, and otherwise the error that a daemon
        reported.
        """
        request = _Request(method, path, body, params, headers)
        failure: errors.BasilspindleError = errors.DaemonUnreachable(
            'no daemon URL is given; use --url or BASILSPINDLE_URL'
        )
        for url in self._urls:
            try:
                return self._send(url, request)
            except errors.BasilspindleError as error:
                failure = _choose_error(failure, error)
                if not _may_try_next(error, retryable):
                    break
        raise failure

    def _send(self, url: str, request: '_Request') -> typing.Any:
        try:
            response = self._http.request(
                request.method,
                url + request.path,
                content=request.content,
                params=request.params,
                headers=request.headers,
            )
        except _NOT_SENT as error:
            raise errors.DaemonUnreachable(
                f'cannot connect to {url}: {error}; start the daemon or '
                'use --url to add another one'
            ) from error
        except httpx.HTTPError as error:
            raise _make_lost_error(url, request.method, error) from error
        return _decode(url, response)


class _Request:
    """Hold the parts of a request, which are the same for each daemon."""

    __slots__ = ('method', 'path', 'content', 'params', 'headers')

    def __init__(
        self,
        method: str,
        path: str,
        body: typing.Any,
        params: dict[str, typing.Any] | None,
        headers: dict[str, str] | None,
    ) -> None:
        self.method = method
        self.path = path
        self.content = None if body is None else msgspec.json.encode(body)
        self.params = params
        self.headers = dict(headers or {})
        if self.content is not None:
            self.headers['Content-Type'] = 'application/json'


def _make_lost_error(
    url: str, method: str, error: httpx.HTTPError
) -> errors.BasilspindleError:
    text = f'the response from {url} was lost ({type(error).__name__})'
    if method == 'GET':
        return errors.DaemonUnreachable(f'{text}; try again')
    return errors.OutcomeUnknown(
        f'{text}; check whether the request took effect before repeating it'
    )


def _decode(url: str, response: httpx.Response) -> typing.Any:
    if response.is_success:
        try:
            return msgspec.json.decode(response.content or b'null')
        except decoding.FAULTS:
            raise _make_unexpected_error(url, response) from None
    try:
        body = msgspec.json.decode(response.content, type=_ErrorResponse).error
    except decoding.FAULTS:
        raise _make_unexpected_error(url, response) from None
    raise _make_reported_error(body)


def _make_unexpected_error(
    url: str, response: httpx.Response
) -> errors.BasilspindleError:
    text = (
        f'unexpected response from {url} with status '
        f'{response.status_code}; check that this is the URL of a daemon'
    )
    if response.is_client_error:
        return errors.BadRequest(text)
    return errors.OutcomeUnknown(text)


def _make_reported_error(body: _ErrorBody) -> errors.BasilspindleError:
    text = body.message
    if body.remedy and body.remedy not in text:
        text = f'{text}; {body.remedy}'
    error = errors.build(
        body.kind,
        text,
        body.ran,
        body.retry_after_ms or 0,
        body.job_id or '',
    )
    error.kind = body.kind
    return error


def _may_try_next(error: errors.BasilspindleError, retryable: bool) -> bool:
    if error.ran is errors.Ran.NO:
        return error.kind in _TRY_NEXT_KINDS
    return retryable and error.kind == errors.OutcomeUnknown.kind


def _choose_error(
    previous: errors.BasilspindleError, error: errors.BasilspindleError
) -> errors.BasilspindleError:
    """Return the more informative of the errors of two attempts.

    A refusal says "not run" only about its own attempt, so it does not
    replace an unknown outcome. A conflict does: it shows what took effect.
    A refusal by a daemon is kept over a failure to connect to the next one.
    """
    if error.kind in _CONFLICT_KINDS:
        return error
    if previous.ran is errors.Ran.UNKNOWN:
        return previous
    if (
        error.kind == errors.DaemonUnreachable.kind
        and previous.kind in _DAEMON_REFUSALS
    ):
        return previous
    return error
