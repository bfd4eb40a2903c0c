"""Test which jobs the bench of refused jobs takes for refused and run."""

import unittest

from bench import refused_jobs


def make_job(job_id: str, status: int) -> refused_jobs.Job:
    """Return a job that was answered with a status."""
    job = refused_jobs.Job(job_id, 'd0')
    job.status = status
    return job


class FindRefusedRunsTest(unittest.TestCase):
    """Guard against refused jobs that run and are not counted."""

    def test_answers_that_promise_no_run(self):
        """Guard against counting answers that promise nothing."""
        jobs = [
            make_job(f'{status:x}', status)
            for status in (0, 200, 429, 502, 503, 504)
        ]
        times_s = {job.job_id: 1.0 for job in jobs}
        found = refused_jobs.find_refused_runs(jobs, times_s)
        self.assertEqual([429, 503], [job.status for job in found])

    def test_jobs_that_did_not_run(self):
        """Guard against counting refused jobs that never ran."""
        jobs = [make_job('a', 429), make_job('b', 503)]
        found = refused_jobs.find_refused_runs(jobs, {'b': 1.0, 'c': 1.0})
        self.assertEqual(['b'], [job.job_id for job in found])
