"""Answer over HTTP what would be decided about a job now.

Served with metrics and state, where no path belongs to a queue: a submission
can't end up here, nor a dry run at a queue.
"""

import typing
import urllib.parse

import msgspec

from basilspindle.cell import configuration as configuration_module
from basilspindle.cell import events as cell_events
from basilspindle.cell import metrics
from basilspindle.cell import node as node_module
from basilspindle import clock as clock_module
from basilspindle import decoding
from basilspindle import errors
from basilspindle import events
from basilspindle.platform import authorization
from basilspindle.platform import job_body
from basilspindle.platform import request_body

PATH = '/dry-run'
# Time for the body, and for the answer of the leader.
_TIMEOUT_MS = 3_000
# A dry run is that of a new caller, so that it has the id of no job. Where
# Retry-After is spread by a hash of the id, it is that of this one.
_JOB_ID = '0' * 16
_USAGE = 'name the queue with queue=NAME, or with host=HOST and path=PREFIX'
_FIELDS = ({'queue'}, {'host', 'path'})
_ACCEPTED = 'accepted'
_REFUSED = 'refused'
_FAILED = 'failed'


class _Verdict(msgspec.Struct):
    accepted: bool
    reason: str


class DryRuns:
    """Handler of dry runs."""

    __slots__ = ('_node', '_clock')

    def __init__(
        self, node: node_module.Node, clock: clock_module.Clock
    ) -> None:
        self._node = node
        self._clock = clock

    async def answer(
        self, scope: dict[str, typing.Any], receive: request_body.Receive
    ) -> tuple[int, bytes]:
        """Return status and body of the response to a request."""
        try:
            data = await self._ask(scope, receive)
        except errors.BasilspindleError as error:
            metrics.DRY_RUNS.labels(_FAILED).inc()
            events.emit(
                cell_events.DRY_RUN_FAILED,
                status=error.status,
                reason=error.kind,
            )
            return error.status, _encode_error(error)
        return 200, data

    async def _ask(
        self, scope: dict[str, typing.Any], receive: request_body.Receive
    ) -> bytes:
        if scope['method'] != 'POST':
            raise errors.BadRequest('a dry run needs a body; use POST')
        queue, workspace = self._authorize(scope)
        index = authorization.loaded_index(self._node)
        body = await self._clock.wait_for(
            request_body.read(
                receive, index.configuration.limits.max_body_bytes
            ),
            _TIMEOUT_MS,
        )
        definition = job_body.decode(
            body, _JOB_ID, workspace, queue, self._clock.wall_ms()
        )
        begun_ms = self._clock.now_ms()
        data = await self._node.dry_run(definition, _TIMEOUT_MS)
        verdict = _decode_verdict(data)
        metrics.DRY_RUNS.labels(
            _ACCEPTED if verdict.accepted else _REFUSED
        ).inc()
        events.emit(
            cell_events.DRY_RUN_ANSWERED,
            workspace=workspace,
            queue=queue.name,
            accepted=verdict.accepted,
            reason=verdict.reason,
            took_ms=self._clock.now_ms() - begun_ms,
        )
        return data

    def _authorize(
        self, scope: dict[str, typing.Any]
    ) -> tuple[configuration_module.QueueConfig, str]:
        headers = {name: value for name, value in scope['headers']}
        fields = _decode_query(scope.get('query_string', b''))
        if not all(fields.values()) or set(fields) not in _FIELDS:
            raise errors.BadRequest(f'the query is not valid; {_USAGE}')
        if 'queue' not in fields:
            headers[b'host'] = fields['host'].encode('latin-1', 'replace')
            return authorization.authorize(self._node, fields['path'], headers)
        index = authorization.loaded_index(self._node)
        queue = index.queues.get(fields['queue'])
        if queue is None:
            authorization.raise_unless_current(self._node)
            raise errors.NotFound('no such queue; check its name')
        workspace = authorization.workspace_for(
            self._node, index, queue, headers
        )
        return queue, workspace


def _decode_verdict(data: bytes) -> _Verdict:
    try:
        return msgspec.json.decode(data, type=_Verdict)
    except decoding.FAULTS as error:
        raise errors.NotReady(
            f'this build cannot read the answer of the leader ({error}); ask '
            'a daemon of the build that leads'
        ) from error


def _decode_query(query: bytes) -> dict[str, str]:
    try:
        pairs = urllib.parse.parse_qsl(
            query.decode('ascii'),
            keep_blank_values=True,
            strict_parsing=True,
            errors='strict',
            max_num_fields=3,
        )
    except ValueError as error:
        raise errors.BadRequest(
            f'the query cannot be read; {_USAGE}'
        ) from error
    if len(dict(pairs)) != len(pairs):
        raise errors.BadRequest(f'the query has a field twice; {_USAGE}')
    return dict(pairs)


def _encode_error(error: errors.BasilspindleError) -> bytes:
    # The form that the command-line tool reads. Nothing ever runs here.
    return msgspec.json.encode(
        {
            'error': {
                'kind': error.kind,
                'message': error.message,
                'ran': errors.Ran.NO,
                'retry_after_ms': error.retry_after_ms,
            }
        }
    )
