"""Stand-in for the advice service."""

import json

from tests.standins.platform import server as server_module


class StandinAdvice:
    """Gives tickets for all workers except those in ``refused_workers``.

    ``calls`` counts the requests.
    """

    def __init__(self) -> None:
        self.refused_workers: set[str] = set()
        self.calls = 0
        self.server = server_module.Server(self._handle)

    async def __aenter__(self) -> 'StandinAdvice':
        await self.server.__aenter__()
        return self

    async def __aexit__(self, *error: object) -> None:
        await self.server.__aexit__(*error)

    async def _handle(
        self, request: server_module.Request
    ) -> server_module.Reply:
        self.calls += 1
        body = request.json()
        good = [
            [worker, f't-{worker}']
            for worker in body['workers']
            if worker not in self.refused_workers
        ]
        value = {'good': good, 'valid_ms': 2000}
        return server_module.Reply(200, json.dumps(value).encode())
