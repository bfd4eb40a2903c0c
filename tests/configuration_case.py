"""Test case with daemons that get their configuration from a store."""

import io
import json
import typing
import unittest

import loguru

from basilspindle import events
from tests.standins import narrow_cell


class ConfigurationCase(unittest.IsolatedAsyncioTestCase):
    """Test case with daemons in this process and their log lines."""

    async def asyncSetUp(self) -> None:
        self.stream = io.StringIO()
        events.configure_logging(self.stream)
        self.addCleanup(loguru.logger.remove)
        self.cell = await self.enterAsyncContext(narrow_cell.NarrowCell())

    async def wait_until(
        self,
        condition: typing.Callable[[], bool],
        timeout_s: float = narrow_cell.START_TIMEOUT_S,
    ) -> None:
        """Wait for a condition; fail with the last log lines otherwise."""
        try:
            await narrow_cell.wait_until(condition, timeout_s)
        except TimeoutError:
            self.fail(
                f'not within {timeout_s} s; last log lines: '
                f'{self.stream.getvalue()[-2_000:]}'
            )

    def lines(self, name: str) -> list[dict[str, typing.Any]]:
        """Return the log lines of an event."""
        lines = map(json.loads, self.stream.getvalue().splitlines())
        return [line for line in lines if line['name'] == name]
