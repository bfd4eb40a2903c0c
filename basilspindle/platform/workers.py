"""Call the platform's workers over HTTP."""

import typing

import msgspec

from basilspindle.cell import events as cell_events
from basilspindle.cell import report as report_module
from basilspindle.cell import start_outcome
from basilspindle import decoding
from basilspindle import errors
from basilspindle import events
from basilspindle.platform import client as client_module

_Outcome = start_outcome.StartOutcome
_EndKind = report_module.EndKind

_END_KINDS = {
    'done': _EndKind.DONE,
    'failed': _EndKind.FAILED,
    'stopped': _EndKind.STOPPED,
    'lapsed': _EndKind.LAPSED,
    # Ended because another member of the gang ended.
    'broken': _EndKind.PARTNER_ENDED,
    # Ended because other members of the gang did not start in time.
    'alone': _EndKind.PARTNER_MISSING,
}
# Reason given when the worker has seen a higher fencing token.
_FENCED_REASON = 'fence'
_START_OUTCOMES = {
    _FENCED_REASON: _Outcome.FENCED,
    'old': _Outcome.RUN_TOO_LOW,
    'late': _Outcome.DEADLINE_PASSED,
    'room': _Outcome.NO_ROOM,
    'ticket': _Outcome.TICKET_REFUSED,
}
# A checkpoint is stored with the progress of its job. A longer one is dropped,
# so that the task starts from its beginning.
_MAX_CHECKPOINT_CHARS = 4_000
_MAX_PERCENT = 100
_MAX_LOGGED_CHARS = 60
# A report with this many run ends is incomplete; more follow.
_MAX_ENDS_PER_REPORT = 500
_ENCODER = msgspec.json.Encoder()


class _Rejection(msgspec.Struct):
    reason: str = ''


class _ClockReading(msgspec.Struct):
    # Monotonic clock of the worker.
    clock_ms: decoding.Count | None = None


class _RunningRow(msgspec.Struct, array_like=True):
    task: str
    run: decoding.Count
    # Checkpoint.
    saved: str
    # Progress.
    percent: decoding.Amount
    # Response time in ms of a service, CPU usage of any other task.
    load: decoding.Amount = 0


class _FinishedRow(msgspec.Struct, array_like=True):
    number: decoding.Count
    task: str
    run: decoding.Count
    how: str
    # Checkpoint.
    saved: str


class _WorkerReport(msgspec.Struct):
    # Monotonic clock of the worker.
    clock_ms: decoding.Count
    # Required: a report without one of the lists would say that runs have
    # ended.
    running: list[_RunningRow]
    finished: list[_FinishedRow]
    # Unix time of the worker's start in ms, which changes with a restart.
    born: decoding.Count = 0


class HttpWorkers:
    """Client of the workers, each of which has its own address."""

    __slots__ = ('_client',)

    def __init__(self, client: client_module.Client) -> None:
        self._client = client

    async def renew(
        self,
        address: str,
        worker_id: str,
        token: int,
        deadline_ms: int | None,
        acknowledged_end_number: int,
        wait_ms: int,
        timeout_ms: int,
    ) -> report_module.Report:
        """Extend the lease, acknowledge run ends and return the report."""
        body: dict[str, typing.Any] = {
            'fencing_token': token,
            # Highest end number that the worker may forget.
            'ack_cursor': acknowledged_end_number,
        }
        if deadline_ms is not None:
            body['deadline_ms'] = deadline_ms
        if wait_ms:
            body['wait_ms'] = wait_ms
        response = await self._post(
            address, worker_id, '/basilspindle/hold', body, timeout_ms
        )
        _check_status(response, address)
        try:
            worker_report = msgspec.json.decode(
                response.body, type=_WorkerReport
            )
            return _decode_report(worker_report)
        except (*decoding.FAULTS, KeyError) as error:
            raise errors.WorkerOutcomeUnknown(
                f'worker at {address} sent a report that cannot be decoded: '
                f'{error!r}; retry'
            ) from error

    async def start(
        self,
        address: str,
        worker_id: str,
        token: int,
        deadline_ms: int,
        name: str,
        run: int,
        payload: str,
        checkpoint: str,
        ticket: str,
        timeout_ms: int,
    ) -> start_outcome.StartAnswer:
        """Start a run; a repeated call does not start it again."""
        body: dict[str, typing.Any] = {
            'task': name,
            'run': run,
            'spec': payload,
            'deadline_ms': deadline_ms,
            'fencing_token': token,
        }
        if checkpoint:
            body['checkpoint'] = checkpoint
        if ticket:
            body['ticket'] = ticket
        response = await self._post(
            address, worker_id, '/basilspindle/run-start', body, timeout_ms
        )
        return start_outcome.StartAnswer(
            _decode_start_outcome(response, address), _decode_clock(response)
        )

    async def stop(
        self,
        address: str,
        worker_id: str,
        token: int,
        name: str,
        run: int,
        timeout_ms: int,
    ) -> None:
        """Stop a run, or prevent it if its start has not arrived yet."""
        body = {'task': name, 'run': run, 'fencing_token': token}
        response = await self._post(
            address, worker_id, '/basilspindle/run-stop', body, timeout_ms
        )
        _check_status(response, address)

    async def pace(
        self,
        address: str,
        worker_id: str,
        token: int,
        name: str,
        run: int,
        percent: int,
        timeout_ms: int,
    ) -> None:
        """Throttle a run to a percentage of its full speed."""
        body = {
            'task': name,
            'run': run,
            'percent': percent,
            'fencing_token': token,
        }
        response = await self._post(
            address, worker_id, '/basilspindle/pace', body, timeout_ms
        )
        if response.status == 409:
            reason = _decode_reason(response, address)
            if reason != _FENCED_REASON:
                raise errors.WorkerUnavailable(
                    f'worker at {address} has no run {run} of {name} '
                    f'({reason}); wait for its next report'
                )
        _check_status(response, address)

    async def _post(
        self,
        address: str,
        worker_id: str,
        path: str,
        body: dict[str, typing.Any],
        timeout_ms: int,
    ) -> client_module.Response:
        try:
            return await self._client.call(
                address,
                'POST',
                path,
                _ENCODER.encode(body),
                timeout_ms=timeout_ms,
                headers=(('X-Expect-Instance', worker_id),),
            )
        except client_module.CallFailed as error:
            if not error.sent:
                raise errors.WorkerUnavailable(error.message) from error
            raise errors.WorkerOutcomeUnknown(error.message) from error


def _decode_start_outcome(
    response: client_module.Response, address: str
) -> start_outcome.StartOutcome:
    if response.status == 200:
        return _Outcome.RUNS
    if response.status == 409:
        reason = _decode_reason(response, address)
        return _START_OUTCOMES.get(reason, _Outcome.INVALID)
    if response.status in (429, 503):
        return _Outcome.UNHEALTHY
    if response.status == 421:
        return _Outcome.WORKER_REPLACED
    if response.status < 500:
        return _Outcome.INVALID
    return _Outcome.UNKNOWN


def _decode_clock(response: client_module.Response) -> int | None:
    # The outcome stands whatever the rest of the answer is.
    try:
        return msgspec.json.decode(response.body, type=_ClockReading).clock_ms
    except decoding.FAULTS:
        return None


def _check_status(response: client_module.Response, address: str) -> None:
    if response.status == 200:
        return
    if response.status == 421:
        raise errors.WorkerReplaced(
            f'another worker answers at {address}; refresh the registry'
        )
    if response.status == 409:
        reason = _decode_reason(response, address)
        # A call that only a fencing token can reject may give no reason.
        if reason and reason != _FENCED_REASON:
            raise errors.WorkerUnavailable(
                f'worker at {address} rejected a call ({reason}); retry'
            )
        raise errors.StaleEpoch(
            f'worker at {address} has seen a higher fencing token; stop '
            'leading'
        )
    raise errors.WorkerUnavailable(
        f'worker at {address} returned status {response.status}; retry'
    )


def _decode_reason(response: client_module.Response, address: str) -> str:
    try:
        return msgspec.json.decode(response.body, type=_Rejection).reason
    except decoding.FAULTS as error:
        # A rejected call had no effect, whatever the reason was.
        raise errors.WorkerUnavailable(
            f'worker at {address} rejected a call with a body that cannot be '
            f'decoded: {error!r}; retry'
        ) from error


def _decode_report(worker_report: _WorkerReport) -> report_module.Report:
    running = tuple(
        report_module.ActiveRun(
            row.task,
            row.run,
            _accept_checkpoint(row.task, row.saved),
            min(int(row.percent), _MAX_PERCENT),
            int(row.load),
        )
        for row in worker_report.running
    )
    ends = tuple(
        report_module.RunEnd(
            row.number,
            row.task,
            row.run,
            _END_KINDS[row.how],
            _accept_checkpoint(row.task, row.saved),
        )
        for row in worker_report.finished
    )
    return report_module.Report(
        worker_report.clock_ms,
        worker_report.born,
        running,
        ends,
        len(ends) < _MAX_ENDS_PER_REPORT,
    )


def _accept_checkpoint(task: str, checkpoint: str) -> str:
    if len(checkpoint) <= _MAX_CHECKPOINT_CHARS:
        return checkpoint
    events.emit(
        cell_events.CHECKPOINT_DROPPED,
        task=task[:_MAX_LOGGED_CHARS],
        chars=len(checkpoint),
    )
    return ''
