"""Create the HTTP application of a daemon."""

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

_MAX_TRACEBACK_FRAMES = 4


def create_app(services: services_module.Services) -> litestar.Litestar:
    """Return the application; errors have the documented JSON form."""

    def count_requests(app: litestar_types.ASGIApp) -> litestar_types.ASGIApp:
        return _wrap_with_counter(app, services)

    return litestar.Litestar(
        route_handlers=[
            *callers.routes(services),
            *operators.routes(services),
            *health.routes(services),
        ],
        exception_handlers={
            errors.BasilspindleError: _handle_own_error,
            litestar_exceptions.HTTPException: _handle_http_error,
            Exception: _handle_unexpected_error,
        },
        middleware=[count_requests],
        request_max_body_size=services.limits.max_body_bytes,
        openapi_config=None,
        logging_config=None,
    )


def _wrap_with_counter(
    app: litestar_types.ASGIApp, services: services_module.Services
) -> litestar_types.ASGIApp:
    """Wrap an application to count each response by route and status."""

    async def count_response(
        scope: typing.Any, receive: typing.Any, send: typing.Any
    ) -> None:
        start_ms = services.clock.now_ms()

        async def send_and_count(message: typing.Any) -> None:
            if message['type'] == 'http.response.start':
                services.metrics.count_request(
                    scope.get('path_template', 'unknown'),
                    message['status'],
                    services.clock.now_ms() - start_ms,
                )
            await send(message)

        await app(scope, receive, send_and_count)

    return count_response


def _error_response(
    error: errors.BasilspindleError,
) -> litestar.Response[problem.ProblemBody]:
    error = problem.as_answered(error)
    headers = {}
    if error.retry_after_ms:
        headers['Retry-After'] = str(-(-error.retry_after_ms // 1000))
    return litestar.Response(
        problem.from_error(error), status_code=error.status, headers=headers
    )


def _handle_own_error(
    _: litestar.Request, error: errors.BasilspindleError
) -> litestar.Response[problem.ProblemBody]:
    return _error_response(error)


def _handle_http_error(
    request: litestar.Request, error: litestar_exceptions.HTTPException
) -> litestar.Response[problem.ProblemBody]:
    error_class = _ERROR_BY_STATUS.get(error.status_code, errors.BadRequest)
    if error.status_code >= 500:
        return _handle_unexpected_error(request, error)
    own_error = error_class(f'{error.detail}; see docs/callers.md')
    own_error.status = error.status_code
    return _error_response(own_error)


_ERROR_BY_STATUS: dict[int, type[errors.BasilspindleError]] = {
    404: errors.NotFound,
    413: errors.TooLarge,
}


def _describe_origin(error: Exception) -> str:
    """Return the type of an error and the code lines that raised it.

    The message is left out because it may quote a caller's input or key.
    """
    frames = traceback.extract_tb(error.__traceback__)[-_MAX_TRACEBACK_FRAMES:]
    places = [
        f'{pathlib.PurePath(frame.filename).name}:{frame.lineno}'
        for frame in frames
    ]
    return ' '.join([type(error).__name__, 'at', *places])


def _handle_unexpected_error(
    request: litestar.Request, error: Exception
) -> litestar.Response[problem.ProblemBody]:
    events.emit(
        api_events.REQUEST_FAILED,
        path=request.url.path,
        error=_describe_origin(error),
    )
    return _error_response(
        errors.BasilspindleError(
            'the daemon failed with an internal error; look up the job '
            'before submitting it again',
            ran=errors.Ran.UNKNOWN,
        )
    )
