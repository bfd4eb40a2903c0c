"""Serve callers and the platform's load balancer over HTTP."""

import collections.abc
import math
import re
import typing

import msgspec

from basilspindle.cell import configuration as configuration_module
from basilspindle.cell import copies as copies_module
from basilspindle.cell import events as cell_events
from basilspindle.cell import messages
from basilspindle.cell import metrics
from basilspindle.cell import node as node_module
from basilspindle import clock as clock_module
from basilspindle import errors
from basilspindle import events
from basilspindle.platform import authorization
from basilspindle.platform import job_body
from basilspindle.platform import request_body

_READY_PATH = '/basilspindle/ready'
_JOB_ID = re.compile(r'[0-9a-f]{16}')
# Time for the response to reach the caller before the caller's deadline.
_CALLER_MARGIN_MS = 150
_DEFAULT_DEADLINE_MS = 3_000
_MAX_DEADLINE_MS = 30_000
# Statuses which promise that the job was not accepted and will never run.
_REFUSAL_STATUSES = frozenset({429, 503})
# Statuses of submissions after which callers may ask what became of the job.
_UNACCEPTED_STATUSES = _REFUSAL_STATUSES | {502, 504}
_STATUS_BY_REFUSAL_KIND = {
    errors.KeyReused.kind: errors.KeyReused.status,
    errors.NotReady.kind: errors.NotReady.status,
}

_Scope = dict[str, typing.Any]
_Receive = request_body.Receive
_Send = collections.abc.Callable[
    [dict[str, typing.Any]], collections.abc.Awaitable[None]
]


class Response(typing.NamedTuple):
    """HTTP response, without Retry-After if ``retry_after_s`` is 0."""

    status: int
    body: bytes = b'{}'
    retry_after_s: int = 0


class Frontend:
    """ASGI application for callers and the load balancer.

    ``in_flight`` is the number of requests without a response yet.
    """

    __slots__ = ('_node', '_clock', 'in_flight', 'stop_deadline_ms')

    def __init__(
        self, node: node_module.Node, clock: clock_module.Clock
    ) -> None:
        self._node = node
        self._clock = clock
        self.in_flight = 0
        # Time by which all requests must be answered; set on shutdown.
        self.stop_deadline_ms: int | None = None

    async def __call__(
        self, scope: _Scope, receive: _Receive, send: _Send
    ) -> None:
        """Handle one request."""
        if scope['type'] != 'http':
            return
        self.in_flight += 1
        started_ms = self._clock.now_ms()
        try:
            if scope['path'] == _READY_PATH:
                response = Response(200 if self._node.is_ready else 503)
            else:
                response = await self._handle(scope, receive)
                duration_ms = self._clock.now_ms() - started_ms
                metrics.REQUEST_SECONDS.observe(duration_ms / 1000)
                metrics.REQUESTS.labels(
                    scope['method'], str(response.status)
                ).inc()
            await _respond(send, response, self._node.stopping)
        finally:
            self.in_flight -= 1

    async def _handle(self, scope: _Scope, receive: _Receive) -> Response:
        headers = {name: value for name, value in scope['headers']}
        job_id = _find_job_id(scope['path'])
        copies = copies_module.Copies(self._clock)
        try:
            queue, workspace = authorization.authorize(
                self._node, scope['path'], headers
            )
            path_tail = scope['path'][len(queue.prefix) :]
            timeout_ms = self._timeout_ms(headers)
            if not path_tail and scope['method'] == 'GET':
                return await self._count_waiting(queue, timeout_ms)
            if not _JOB_ID.fullmatch(path_tail):
                return _error_response(404, 'no such job')
            job_id = path_tail
            if scope['method'] == 'POST':
                max_bytes = self._max_body_bytes()
                body = await request_body.read(receive, max_bytes)
                definition = job_body.decode(
                    body, job_id, workspace, queue, self._clock.wall_ms()
                )
                request: messages.Request = messages.Submit(
                    definition, timeout_ms
                )
            elif scope['method'] == 'GET':
                request = messages.Find(job_id, workspace)
            elif scope['method'] == 'DELETE':
                request = messages.Cancel(job_id, workspace)
            else:
                return _error_response(405, 'use POST, GET or DELETE')
            reply = await self._node.request(request, timeout_ms, copies)
            response = _to_response(reply)
            reason = getattr(reply, 'kind', '')
            refused_by = copies.refused_by
        except errors.BasilspindleError as error:
            events.emit(
                cell_events.REQUEST_FAILED,
                job=job_id,
                method=scope['method'],
                status=error.status,
                reason=error.kind,
            )
            response = _error_response(
                error.status, error.message, error.retry_after_ms
            )
            reason = error.kind
            refused_by = (
                self._node.name if error.status in _REFUSAL_STATUSES else ''
            )
        if scope['method'] == 'POST':
            if response.status in _UNACCEPTED_STATUSES:
                events.emit(
                    cell_events.SUBMISSION_FAILED,
                    job=job_id,
                    status=response.status,
                    reason=reason,
                    refused_by=refused_by,
                    copies=copies.count,
                    outcomes=copies.describe(),
                    spent_ms=copies.spent_ms,
                )
        return response

    def _timeout_ms(self, headers: dict[bytes, bytes]) -> int:
        timeout_ms = _timeout_from_headers_ms(headers)
        if self.stop_deadline_ms is not None:
            remaining_ms = self.stop_deadline_ms - self._clock.now_ms()
            timeout_ms = max(1, min(timeout_ms, remaining_ms))
        return timeout_ms

    def _max_body_bytes(self) -> int:
        index = self._node.index
        return index.configuration.limits.max_body_bytes if index else 0

    async def _count_waiting(
        self, queue: configuration_module.QueueConfig, timeout_ms: int
    ) -> Response:
        reply = await self._node.request(
            messages.CountWaiting(queue.name), timeout_ms
        )
        return _to_response(reply)


def _find_job_id(path: str) -> str:
    """Return the job id at the end of a path, '' if there is none."""
    tail = path.rpartition('/')[2]
    return tail if _JOB_ID.fullmatch(tail) else ''


def _timeout_from_headers_ms(headers: dict[bytes, bytes]) -> int:
    try:
        deadline_ms = int(headers.get(b'x-deadline-ms', b'') or b'0')
    except ValueError:
        raise errors.BadRequest(
            'X-Deadline-Ms must be a whole number of milliseconds'
        ) from None
    timeout_ms = min(deadline_ms or _DEFAULT_DEADLINE_MS, _MAX_DEADLINE_MS)
    return max(timeout_ms - _CALLER_MARGIN_MS, timeout_ms // 2)


def _to_response(reply: messages.Reply) -> Response:
    if isinstance(reply, messages.Accepted):
        return Response(200)
    if isinstance(reply, messages.Found):
        return Response(200, msgspec.json.encode({'state': reply.state}))
    if isinstance(reply, messages.Counted):
        return Response(200, msgspec.json.encode({'waiting': reply.count}))
    if isinstance(reply, messages.Gone):
        return _error_response(410, 'no such job')
    if isinstance(reply, messages.Refused):
        status = _STATUS_BY_REFUSAL_KIND.get(reply.kind, 429)
        return _error_response(status, reply.text, reply.retry_after_ms)
    return _error_response(502, 'the leader did not answer; retry')


def _error_response(
    status: int, text: str, retry_after_ms: int = 0
) -> Response:
    body = msgspec.json.encode({'error': text})
    retry_after_s = math.ceil(retry_after_ms / 1000)
    if status in _REFUSAL_STATUSES:
        retry_after_s = max(1, retry_after_s)
    return Response(status, body, retry_after_s)


async def _respond(send: _Send, response: Response, closing: bool) -> None:
    headers = [
        (b'content-type', b'application/json'),
        (b'content-length', str(len(response.body)).encode()),
    ]
    if response.retry_after_s:
        headers.append((b'retry-after', str(response.retry_after_s).encode()))
    if closing:
        headers.append((b'connection', b'close'))
    await send(
        {
            'type': 'http.response.start',
            'status': response.status,
            'headers': headers,
        }
    )
    await send({'type': 'http.response.body', 'body': response.body})
