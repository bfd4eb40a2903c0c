"""Call daemons over HTTP, passing on to the next one where that is safe."""

import collections.abc
import typing

import httpx
import msgspec

from basilspindle import errors

_CONNECT_S = 3.0
_NOT_SENT = (
    httpx.ConnectError,
    httpx.ConnectTimeout,
    httpx.InvalidURL,
    httpx.PoolTimeout,
    httpx.UnsupportedProtocol,
)
# Refusals that another daemon may not share; none of them ran anything.
_REFUSED_ELSEWHERE = frozenset(
    {errors.NotReady.kind, errors.ConfigurationStale.kind}
)
_ELSEWHERE = _REFUSED_ELSEWHERE | {errors.DaemonUnreachable.kind}
_CONFLICTS = frozenset({errors.VersionConflict.kind, errors.KeyReused.kind})


class _Fault(msgspec.Struct, kw_only=True):
    kind: str
    message: str
    remedy: str | None = None
    ran: errors.Ran = errors.Ran.UNKNOWN
    retry_after_ms: int | None = 0
    job_id: str | None = ''


class _Refusal(msgspec.Struct):
    error: _Fault


class Client:
    """Send requests to the first daemon that takes them."""

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
        # Daemons are called by address; a proxy set for other programs
        # must not see the key.
        self._http = httpx.Client(
            headers=headers,
            timeout=httpx.Timeout(timeout_ms / 1000, connect=_CONNECT_S),
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
        """Return the decoded answer of the first daemon that takes it.

        A request that is not ``retryable`` is never sent again once it
        may have arrived. Raises ``DaemonUnreachable`` if no daemon could
        be connected to, ``OutcomeUnknown`` after a lost answer, and the
        error that a daemon answered with.
        """
        request = _Request(method, path, body, params, headers)
        failure: errors.BasilspindleError = errors.DaemonUnreachable(
            'no daemon is named; use --url or BASILSPINDLE_URL'
        )
        for url in self._urls:
            try:
                return self._send(url, request)
            except errors.BasilspindleError as error:
                failure = _weigh(failure, error)
                if not _passes_on(error, retryable):
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
                'name another with --url'
            ) from error
        except httpx.HTTPError as error:
            raise _lost(url, request.method, error) from error
        return _decode(url, response)


class _Request:
    """Hold what is sent to each daemon in turn."""

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


def _lost(
    url: str, method: str, error: httpx.HTTPError
) -> errors.BasilspindleError:
    text = f'the answer of {url} was lost ({type(error).__name__})'
    if method == 'GET':
        return errors.DaemonUnreachable(f'{text}; try again')
    return errors.OutcomeUnknown(
        f'{text}; look whether it took effect before you repeat it'
    )


def _decode(url: str, response: httpx.Response) -> typing.Any:
    if response.is_success:
        try:
            return msgspec.json.decode(response.content or b'null')
        except msgspec.MsgspecError:
            raise _foreign(url, response) from None
    try:
        fault = msgspec.json.decode(response.content, type=_Refusal).error
    except msgspec.MsgspecError:
        raise _foreign(url, response) from None
    raise _build(fault)


def _foreign(url: str, response: httpx.Response) -> errors.BasilspindleError:
    text = (
        f'{url} answered with status {response.status_code} and not as a '
        'daemon does; check that this is the address of a daemon'
    )
    if response.is_client_error:
        return errors.BadRequest(text)
    return errors.OutcomeUnknown(text)


def _build(fault: _Fault) -> errors.BasilspindleError:
    text = fault.message
    if fault.remedy and fault.remedy not in text:
        text = f'{text}; {fault.remedy}'
    error = errors.build(
        fault.kind,
        text,
        fault.ran,
        fault.retry_after_ms or 0,
        fault.job_id or '',
    )
    error.kind = fault.kind
    return error


def _passes_on(error: errors.BasilspindleError, retryable: bool) -> bool:
    if error.ran is errors.Ran.NO:
        return error.kind in _ELSEWHERE
    return retryable and error.kind == errors.OutcomeUnknown.kind


def _weigh(
    known: errors.BasilspindleError, error: errors.BasilspindleError
) -> errors.BasilspindleError:
    """Return the one of two failures that the caller has to know.

    A refusal says "not run" of the last request only, which is no news
    after a lost answer. A conflict is, since it names what took effect.
    """
    if error.kind in _CONFLICTS:
        return error
    if known.ran is errors.Ran.UNKNOWN:
        return known
    if (
        error.kind == errors.DaemonUnreachable.kind
        and known.kind in _REFUSED_ELSEWHERE
    ):
        return known
    return error
