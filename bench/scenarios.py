"""Generate the three scenarios of the policy benchmark from a seed."""

import itertools
import random

from basilspindle import model
from basilspindle import policy
from bench import workload

_URGENT = model.Priority.URGENT
_SERVICE = model.Priority.SERVICE
_BATCH = model.Priority.BATCH
_MINUTE_MS = 60_000


def _make_workers(count, domains, sizes):
    return [
        (
            f'worker-{n}',
            f'domain-{n // 6 % domains}',
            f'rack-{n // 6}',
            sizes[n % len(sizes)],
        )
        for n in range(count)
    ]


def _draw_run_times_ms(rng, count, mean_ms, sigma=0.6):
    # The mean of a lognormal distribution is exp(sigma**2 / 2) medians.
    median_ms = mean_ms / 2.718281828 ** (sigma * sigma / 2)
    return [
        max(20, int(median_ms * rng.lognormvariate(0, sigma)))
        for _ in range(count)
    ]


def site_a(seed: int, quick: bool = False) -> workload.Scenario:
    """Return a nightly batch whose declared resources are often wrong.

    Six workspaces of different size and share submit jobs of four kinds.
    Small urgent queries arrive every few seconds.
    """
    rng = random.Random(seed)
    end_ms = (60 if quick else 150) * _MINUTE_MS
    shares = [0.3, 0.25, 0.15, 0.1, 0.1, 0.1]
    job_weights = [0.45, 0.3, 0.1, 0.06, 0.05, 0.04]
    kinds = {
        'scan': (model.Resources(4_000, 8_000, 0, 1), 1),
        'join': (model.Resources(12_000, 72_000, 0, 1), 1),
        'train': (model.Resources(24_000, 64_000, 0, 1), 1),
        'gang': (model.Resources(8_000, 24_000, 0, 1), 16),
    }
    declared_factors = {
        (workspace, kind): rng.choice([0.8, 1.0, 1.5, 2.0, 3.0])
        for workspace in range(6)
        for kind in kinds
    }
    job_numbers = itertools.count()
    jobs = []
    for _ in range(600 if quick else 1_500):
        workspace = rng.choices(range(6), job_weights)[0]
        kind = rng.choices(list(kinds), [5, 3, 2, 0.4])[0]
        actual, gang_size = kinds[kind]
        factor = declared_factors[workspace, kind]
        declared = model.Resources(
            min(int(actual.cpu_millicores * factor), 64_000),
            min(int(actual.memory_mb * factor), 256_000),
            0,
            1,
        )
        # Two thirds arrive at the start of the night.
        arrival_span_ms = 10 * _MINUTE_MS if rng.random() < 0.66 else end_ms
        tasks = gang_size if gang_size > 1 else rng.randint(1, 9)
        mean_ms = 4 * _MINUTE_MS
        jobs.append(
            workload.SimulatedJob(
                f'batch-{next(job_numbers)}',
                rng.randrange(arrival_span_ms),
                f'workspace-{workspace}',
                kind,
                _BATCH,
                declared,
                actual,
                int(mean_ms * rng.choice([0.5, 1, 1, 2, 4])),
                _draw_run_times_ms(rng, tasks, mean_ms),
                gang_size > 1,
            )
        )
    for at_ms in range(0, end_ms, 5_000):
        resources = model.Resources(1_000, 2_000, 0, 1)
        jobs.append(
            workload.SimulatedJob(
                f'urgent-{next(job_numbers)}',
                at_ms + rng.randrange(5_000),
                f'workspace-{rng.randrange(6)}',
                'query',
                _URGENT,
                resources,
                resources,
                5_000,
                _draw_run_times_ms(rng, 1, 5_000),
            )
        )
    workspaces = {
        f'workspace-{n}': policy.WorkspacePolicy(share=share)
        for n, share in enumerate(shares)
    }
    workers = _make_workers(24, 4, [model.Resources(64_000, 256_000, 0, 8)])
    return workload.Scenario(
        'site_a', workers, workspaces, jobs, 100, 10 * _MINUTE_MS, end_ms
    )


def site_b(
    seed: int, quick: bool = False, flood: bool = True
) -> workload.Scenario:
    """Return urgent requests beside batch jobs of limited workspaces.

    With ``flood`` one workspace sends far more requests than the others
    for about a third of the run.
    """
    rng = random.Random(seed)
    end_ms = 60_000 if quick else 180_000
    job_numbers = itertools.count()
    jobs = []

    def make_request(arrival_ms, workspace):
        size = model.Resources(
            rng.choice([500, 1_000, 2_000]),
            rng.choice([500, 1_000, 2_000]),
            0,
            1,
        )
        return workload.SimulatedJob(
            f'urgent-{next(job_numbers)}',
            int(arrival_ms),
            workspace,
            'request',
            _URGENT,
            size,
            size,
            1_500,
            _draw_run_times_ms(rng, 1, 1_500),
        )

    for workspace in range(6):
        at_ms = 0.0
        while (at_ms := at_ms + rng.expovariate(6 / 1_000)) < end_ms:
            jobs.append(make_request(at_ms, f'workspace-{workspace}'))
    for booked_index in range(2):
        for _ in range(60):
            size = model.Resources(
                rng.choice([1_000, 2_000]), rng.choice([2_000, 4_000]), 0, 1
            )
            jobs.append(
                workload.SimulatedJob(
                    f'batch-{next(job_numbers)}',
                    rng.randrange(end_ms) // 2,
                    f'booked-{booked_index}',
                    'report',
                    _BATCH,
                    size,
                    size,
                    40_000,
                    _draw_run_times_ms(rng, rng.randint(5, 20), 40_000),
                )
            )
    if flood:
        rng = random.Random(seed + 1_000)
        at_ms = end_ms / 3
        while (at_ms := at_ms + rng.expovariate(250 / 1_000)) < end_ms * 0.7:
            jobs.append(make_request(at_ms, 'workspace-0'))
    workspaces = {f'workspace-{n}': policy.WorkspacePolicy() for n in range(6)}
    for booked_index in range(2):
        workspaces[f'booked-{booked_index}'] = policy.WorkspacePolicy(
            limit_tasks=40
        )
    workers = _make_workers(24, 4, [model.Resources(16_000, 32_000, 0, 8)])
    return workload.Scenario(
        'site_b', workers, workspaces, jobs, 10, 20_000, end_ms
    )


def two_years(seed: int, quick: bool = False) -> workload.Scenario:
    """Return the peak load expected in two years: 310 starts a second."""
    rng = random.Random(seed)
    end_ms = 30_000 if quick else 60_000
    job_numbers = itertools.count()
    sizes = [
        model.Resources(64_000, 256_000, 0, 8),
        model.Resources(16_000, 32_000, 0, 8),
    ] * 5
    sizes[0] = model.Resources(64_000, 256_000, 8, 8)

    def make_job(arrival_ms, priority, tasks, mean_ms):
        size = model.Resources(
            rng.choice([500, 1_000, 2_000, 4_000, 8_000]),
            rng.choice([1_000, 2_000, 4_000, 8_000, 16_000]),
            1 if priority == _BATCH and rng.random() < 0.02 else 0,
            1,
        )
        return workload.SimulatedJob(
            f'job-{next(job_numbers)}',
            int(arrival_ms),
            f'workspace-{min(rng.randrange(270), rng.randrange(270))}',
            priority.name.lower(),
            priority,
            size,
            size,
            mean_ms,
            _draw_run_times_ms(rng, tasks, mean_ms),
        )

    # 1,020 service tasks: a fifth of the 5,100 tasks that run.
    jobs = [make_job(0, _SERVICE, 6, 10**7) for _ in range(170)]
    jobs += [make_job(0, _BATCH, 20, 14_000) for _ in range(200)]
    for priority, tasks_per_s, tasks, mean_ms in (
        (_BATCH, 210, 20, 18_000),
        (_URGENT, 97, 1, 3_000),
        (_SERVICE, 3, 1, 10**7),
    ):
        at_ms = 0.0
        jobs_per_ms = tasks_per_s / tasks / 1_000
        while (at_ms := at_ms + rng.expovariate(jobs_per_ms)) < end_ms:
            jobs.append(make_job(at_ms, priority, tasks, mean_ms))
    workspaces = {
        f'workspace-{n}': policy.WorkspacePolicy() for n in range(270)
    }
    return workload.Scenario(
        'two_years',
        _make_workers(740, 5, sizes),
        workspaces,
        jobs,
        10,
        20_000,
        end_ms,
    )
