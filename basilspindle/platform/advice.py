"""Ask the platform's advice service."""

import msgspec

from basilspindle.cell import ports
from basilspindle import errors
from basilspindle.platform import client as client_module

_ENCODER = msgspec.json.Encoder()
_DEFAULT_VALID_MS = 1_000


class _Advice(msgspec.Struct):
    # Rows of worker id and ticket.
    good: list[tuple[str, str]] = []
    valid_ms: float = _DEFAULT_VALID_MS


class HttpAdvice:
    """Calls to the advice service, which takes them in turn."""

    __slots__ = ('_client', '_address')

    def __init__(self, client: client_module.Client, address: str) -> None:
        self._client = client
        self._address = address

    async def ask(
        self, step_key: str, worker_ids: list[str], timeout_ms: int
    ) -> ports.AdviceResult:
        """Return the workers that may run the step."""
        body = _ENCODER.encode({'step': step_key, 'workers': worker_ids})
        try:
            response = await self._client.call(
                self._address,
                'POST',
                '/basilspindle/advise',
                body,
                timeout_ms=timeout_ms,
            )
        except client_module.CallFailed as error:
            raise errors.WorkerUnavailable(error.message) from error
        if response.status == 429:
            raise errors.Overloaded(
                'the advice service has too many calls waiting; ask later'
            )
        if response.status != 200:
            raise errors.WorkerUnavailable(
                f'the advice service answered {response.status}; ask again'
            )
        advice = msgspec.json.decode(response.body, type=_Advice)
        return ports.AdviceResult(dict(advice.good), int(advice.valid_ms))
