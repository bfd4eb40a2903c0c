"""Build the HTTP application of a daemon."""

import pathlib
import traceback
import typing

import litestar
from litestar import exceptions as litestar_exceptions
from litestar import types as litestar_types

from basilspindle.api import callers
from basilspindle.api import events as api_events
from basilspindle.api import health
from basilspindle.api import operators
from basilspindle.api import problem
from basilspindle.api import services as services_module
from basilspindle import errors
from basilspindle import events

_FRAMES = 4


def create_app(services: services_module.Services) -> litestar.Litestar:
    """Return the application; every error has the documented form."""

    def count(app: litestar_types.ASGIApp) -> litestar_types.ASGIApp:
        return _count(app, services)

    return litestar.Litestar(
        route_handlers=[
            *callers.routes(services),
            *operators.routes(services),
            *health.routes(services),
        ],
        exception_handlers={
            errors.BasilspindleError: _own_error,
            litestar_exceptions.HTTPException: _http_error,
            Exception: _fault,
        },
        middleware=[count],
        request_max_body_size=services.limits.max_body_bytes,
        openapi_config=None,
        logging_config=None,
    )


def _count(
    app: litestar_types.ASGIApp, services: services_module.Services
) -> litestar_types.ASGIApp:
    """Count each answered request by its route."""

    async def counted(
        scope: typing.Any, receive: typing.Any, send: typing.Any
    ) -> None:
        start_ms = services.clock.now_ms()

        async def observe(message: typing.Any) -> None:
            if message['type'] == 'http.response.start':
                services.metrics.count_request(
                    scope.get('path_template', 'unknown'),
                    message['status'],
                    services.clock.now_ms() - start_ms,
                )
            await send(message)

        await app(scope, receive, observe)

    return counted


def _answer(
    error: errors.BasilspindleError,
) -> litestar.Response[problem.ProblemBody]:
    headers = {}
    if error.retry_after_ms:
        headers['Retry-After'] = str(-(-error.retry_after_ms // 1000))
    return litestar.Response(
        problem.make(error), status_code=error.status, headers=headers
    )


def _own_error(
    _: litestar.Request, error: errors.BasilspindleError
) -> litestar.Response[problem.ProblemBody]:
    return _answer(error)


def _http_error(
    request: litestar.Request, error: litestar_exceptions.HTTPException
) -> litestar.Response[problem.ProblemBody]:
    found = _KINDS.get(error.status_code, errors.BadRequest)
    if error.status_code >= 500:
        return _fault(request, error)
    answer = found(f'{error.detail}; see docs/callers.md')
    answer.status = error.status_code
    return _answer(answer)


_KINDS: dict[int, type[errors.BasilspindleError]] = {
    404: errors.NotFound,
    413: errors.TooLarge,
}


def _describe(error: Exception) -> str:
    """Name an error and where it was raised.

    Its text is left out, since it may quote the input of a caller.
    """
    frames = traceback.extract_tb(error.__traceback__)[-_FRAMES:]
    places = [
        f'{pathlib.PurePath(frame.filename).name}:{frame.lineno}'
        for frame in frames
    ]
    return ' '.join([type(error).__name__, 'at', *places])


def _fault(
    request: litestar.Request, error: Exception
) -> litestar.Response[problem.ProblemBody]:
    events.emit(
        api_events.REQUEST_FAILED,
        path=request.url.path,
        error=_describe(error),
    )
    return _answer(
        errors.BasilspindleError(
            'the daemon failed to answer; ask for the job before you '
            'submit it again',
            ran=errors.Ran.UNKNOWN,
        )
    )
