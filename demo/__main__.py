"""Run a small cell on loopback and submit work for two workspaces.

Exits with 1 if a result is missing or wrong, or if a worker recorded a
breach of an invariant.
"""

import json
import os
import pathlib
import subprocess
import sys
import typing

from tests.standins import local_cluster

_CLI_PATH = pathlib.Path(sys.executable).with_name('basilspindle')
_COMMAND_TIMEOUT_S = 60


class DemoFailed(Exception):
    """Report a command or a check that failed."""


class Demo:
    """Drive a cell through the command-line tool."""

    def __init__(self, cluster: local_cluster.LocalCluster) -> None:
        self._cluster = cluster

    def call(self, key: str, *arguments: str) -> typing.Any:
        """Run a command, print it and return its JSON output."""
        print(f'$ basilspindle {" ".join(arguments)}', flush=True)
        urls: list[str] = []
        for daemon_id in self._cluster.daemon_ids:
            urls += ['--url', self._cluster.url(daemon_id)]
        process = subprocess.run(
            [str(_CLI_PATH), *urls, '--json', *arguments],
            env={**os.environ, 'BASILSPINDLE_KEY': key},
            capture_output=True,
            text=True,
            timeout=_COMMAND_TIMEOUT_S,
        )
        if process.returncode:
            raise DemoFailed(
                f'exit status {process.returncode}: '
                f'{process.stdout}{process.stderr}'
            )
        return json.loads(process.stdout)

    def publish(self) -> None:
        """Publish the first configuration from a file."""
        path = self._cluster.folder / 'base.json'
        path.write_text(json.dumps(local_cluster.base_document(), indent=2))
        operator = local_cluster.OPERATOR_KEY
        self.call(operator, 'config', 'check', '--base', str(path))
        published = self.call(
            operator, 'config', 'publish', '--base', str(path)
        )
        print(f'  version {published["version"]} is in force')

    def run_requests(self) -> None:
        """Run one request per workspace and check its result."""
        for workspace, key in local_cluster.CALLER_KEYS.items():
            text = json.dumps({'echo': f'hello from {workspace}'})
            job = self.call(key, 'run', '--kind', 'query', '--input', text)
            (result,) = job['results']
            if result['result']['echo'] != f'hello from {workspace}':
                raise DemoFailed(f'{workspace} got a wrong result: {job}')
            print(f'  {result["result"]}')

    def run_jobs(self) -> None:
        """Submit a report, a payment and a training job; wait for each."""
        key = local_cluster.CALLER_KEYS['red']
        for kind, tasks in (('report', 12), ('payment', 4), ('training', 6)):
            submitted = self.call(
                key, 'job', 'submit', '--kind', kind, '--tasks', str(tasks)
            )
            job = self.call(key, 'job', 'wait', submitted['job_id'])
            if job['counts'] != {'succeeded': tasks}:
                raise DemoFailed(f'not all tasks of {kind} succeeded: {job}')
            workers = {result['worker_id'] for result in job['results']}
            print(f'  {tasks} tasks succeeded on {sorted(workers)}')

    def show_isolation(self) -> None:
        """Show that a workspace sees only its own jobs."""
        for workspace, key in local_cluster.CALLER_KEYS.items():
            jobs = self.call(key, 'job', 'list')['jobs']
            if any(job['workspace'] != workspace for job in jobs):
                raise DemoFailed(f'{workspace} sees jobs of another workspace')
            print(f'  {workspace} sees {len(jobs)} jobs, all its own')

    def show_state(self) -> None:
        """Show the daemons, the workers and the state of one daemon."""
        operator = local_cluster.OPERATOR_KEY
        for member in self.call(operator, 'config', 'in-force')['members']:
            print(f'  {member}')
        for worker in self.call(operator, 'worker', 'list')['workers']:
            print(f'  {worker}')
        state = self.call(operator, 'state')
        print(f'  {state["ownership"]}')
        print(f'  {state["coordinator"]}')


def main() -> int:
    """Run the demo and return the exit status."""
    with local_cluster.LocalCluster(daemons=2, workers=3) as cluster:
        demo = Demo(cluster)
        try:
            for daemon_id in cluster.daemon_ids:
                cluster.wait_listening(daemon_id)
            demo.publish()
            cluster.wait_ready()
            demo.run_requests()
            demo.run_jobs()
            demo.show_isolation()
            demo.show_state()
            breaches = cluster.breaches()
            if breaches:
                raise DemoFailed(f'workers recorded breaches: {breaches}')
            statuses = {
                daemon_id: cluster.processes[daemon_id].stop()
                for daemon_id in cluster.daemon_ids
            }
            if any(statuses.values()):
                raise DemoFailed(f'exit status of the daemons: {statuses}')
        except Exception as error:
            print(
                f'FAILED: {error}\n{cluster.output_tails()}', file=sys.stderr
            )
            return 1
    print('all results are correct; the daemons stopped with status 0')
    return 0


if __name__ == '__main__':
    sys.exit(main())
