"""Ask a daemon where a job would go, and print the answer."""

import collections.abc
import typing

import click
import msgspec

from basilspindle.cli import exit_code
from basilspindle.cli import session as session_module
from basilspindle import decoding
from basilspindle import errors

_PATH = '/dry-run'
_Fields = dict[str, typing.Any]


def make_params(
    queue: str | None, host: str | None, path: str | None
) -> dict[str, str]:
    """Return the query that names a queue; raises ``click.UsageError``."""
    if queue and not host and not path:
        return {'queue': queue}
    if host and path and not queue:
        return {'host': host, 'path': path}
    raise click.UsageError(
        'name the queue with --queue, or with --host and --path'
    )


def run(
    session: session_module.Session,
    body: bytes,
    params: dict[str, str],
    with_key: bool,
) -> exit_code.ExitCode:
    """Print what would be decided about a job; return the exit code."""
    try:
        value = msgspec.json.decode(body)
    except decoding.FAULTS as error:
        raise click.UsageError(f'the job is not JSON: {error}') from error
    with session.open(with_key=with_key) as client:
        try:
            answer = client.call(
                'POST', _PATH, retryable=True, params=params, body=value
            )
        except errors.OutcomeUnknown as error:
            # A dry run has no effect that could be unknown.
            raise errors.DaemonUnreachable(
                f'{error.message.partition(";")[0]}; try again, and check '
                'that the URL is the metrics address of a daemon'
            ) from error
    try:
        text = '\n'.join(_describe(answer))
        accepted = answer['accepted']
    except (AttributeError, KeyError, TypeError, ValueError) as error:
        raise errors.DaemonUnreachable(
            'the answer is not that of a dry run; check that the URL is the '
            'metrics address of a daemon of this build'
        ) from error
    session.show(answer, text)
    if accepted:
        return exit_code.ExitCode.SUCCESS
    return exit_code.ExitCode.REFUSED


def _describe(answer: _Fields) -> collections.abc.Iterator[str]:
    if answer['accepted']:
        yield 'accepted: the job would be accepted now; it was not submitted'
    else:
        yield (
            f'refused: {answer["reason"]} (status {answer["status"]}, '
            f'Retry-After {answer["retry_after_s"]} s); nothing was submitted'
        )
    workspace = answer['workspace']
    limit = workspace['limit_millicores'] or 'no limit'
    yield (
        f'workspace {workspace["name"] or "(open queue)"}: uses '
        f'{workspace["used_millicores"]} millicores of {limit}, '
        f'{workspace["waiting_tasks"]} tasks wait'
    )
    yield from _describe_order(answer)
    yield from _describe_expectation(answer['expected'])
    if answer['advice'] == 'not_asked':
        yield (
            'advice: not asked, since a call has a cost; it may approve only '
            'some of the workers below'
        )
    for step in answer['steps']:
        yield from _describe_step(step)
    if answer['steps_omitted']:
        yield f'{answer["steps_omitted"]} more steps are not shown'


def _describe_order(answer: _Fields) -> collections.abc.Iterator[str]:
    order = answer['order']
    share = 'beyond' if order['beyond_share'] else 'within'
    yield (
        f'queue {answer["queue"]}: priority {order["priority"]}, {share} the '
        'share of the workspace'
    )
    yield (
        f'pool {answer["pool"]}: {order["waiting_tasks"]} tasks wait, '
        f'{order["waiting_tasks_up_to_rank"]} of them of the same or a more '
        f'urgent rank; {order["running_millicores"]} millicores run'
    )
    if 'ahead_millicores' in order:
        yield (
            f'order: {order["ahead_millicores"]} millicores are ahead, '
            f'{order["free_millicores"]} are free; {order["lateness"]}'
        )


def _describe_expectation(
    expected: _Fields | None,
) -> collections.abc.Iterator[str]:
    if expected is None:
        yield 'expected: not estimated for repeated jobs and services'
        return
    because = expected['late_because']
    reason = f' ({because})' if because else ''
    yield (
        f'expected: starts in {expected["start_in_ms"]} ms, ends in '
        f'{expected["end_in_ms"]} ms, due in {expected["due_in_ms"]} ms'
        f'{reason}'
    )


def _describe_step(step: _Fields) -> collections.abc.Iterator[str]:
    kind = 'gang of ' if step['gang'] else ''
    after = ', '.join(str(index) for index in step['after'])
    waits = f', after step {after}' if after else ''
    yield (
        f'step {step["step"]}: {kind}{step["tasks"]} tasks{waits}; '
        f'{step["workers"]} workers have room for {step["task_slots"]} tasks, '
        f'{step["start_now"]} could start now'
    )
    if step['worker_ids']:
        fastest, slowest = step['fastest_class'], step['slowest_class']
        yield (
            f'  speed class {fastest["class"]} (slowness '
            f'{fastest["slowness"]}) to {slowest["class"]} (slowness '
            f'{slowest["slowness"]}); workers: '
            + ', '.join(step['worker_ids'])
        )
    if step['not_taken']:
        counts = ', '.join(
            f'{reason} {count}' for reason, count in step['not_taken'].items()
        )
        yield f'  not taken by: {counts}'
