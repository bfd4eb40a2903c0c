"""Call the platform's advice service over HTTP."""

import msgspec

from basilspindle.cell import ports
from basilspindle import decoding
from basilspindle import errors
from basilspindle.platform import client as client_module

_ENCODER = msgspec.json.Encoder()
_DEFAULT_VALID_MS = 1_000


class _Advice(msgspec.Struct):
    # Pairs of worker id and ticket, one for each worker that may run the step.
    good: list[tuple[str, str]] = []
    valid_ms: decoding.Amount = _DEFAULT_VALID_MS


class HttpAdvice:
    """Client of the advice service, which handles one call at a time."""

    __slots__ = ('_client', '_address')

    def __init__(self, client: client_module.Client, address: str) -> None:
        self._client = client
        self._address = address

    async def ask(
        self, step_key: str, worker_ids: list[str], timeout_ms: int
    ) -> ports.AdviceResult:
        """Return tickets for the workers that may run the step."""
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
                'the advice service has too many calls waiting; retry later'
            )
        if response.status != 200:
            raise errors.WorkerUnavailable(
                f'the advice service returned status {response.status}; retry'
            )
        try:
            advice = msgspec.json.decode(response.body, type=_Advice)
            return ports.AdviceResult(dict(advice.good), int(advice.valid_ms))
        except decoding.FAULTS as error:
            raise errors.WorkerUnavailable(
                f'the advice service sent a response that cannot be decoded: '
                f'{error!r}; retry'
            ) from error
