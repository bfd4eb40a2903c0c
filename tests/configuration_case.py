"""Run daemons in this process that get their configuration from a store."""

import asyncio
import contextlib
import io
import json
import time
import typing
import unittest
import unittest.mock

import loguru

from basilspindle.cell import bounds as bounds_module
from basilspindle.cell import identity as identity_module
from basilspindle.cell import link as link_module
from basilspindle.cell import node as node_module
from basilspindle import clock as clock_module
from basilspindle import events
from basilspindle.platform import client as client_module
from basilspindle.platform import configuration
from basilspindle.platform import registry as registry_module
from basilspindle.platform import store as store_module
from tests.standins import local_cluster
from tests.standins import narrow_link
from tests.standins import platform

# 5 Mbit/s, the narrowest link of a VM at the users' sites.
NARROW_LINK_BYTES_S = 625_000.0
_START_TIMEOUT_S = 20.0


def make_routes(count: int, first: int = 0) -> tuple[str, ...]:
    """Return the names of ``count`` routes."""
    return tuple(f'queue-{number}' for number in range(first, first + count))


class Daemon(contextlib.AsyncExitStack):
    """Node with its own client and its own link to everything else."""

    def __init__(self, name: str, store_address: str, rate: float) -> None:
        super().__init__()
        self.name = name
        self.address = f'127.0.0.1:{local_cluster.free_port()}'
        self.link = narrow_link.NarrowLink(rate)
        self._store_address = store_address
        self.in_force: list[tuple[int, float]] = []

    async def __aenter__(self) -> typing.Self:
        clock = clock_module.Clock()
        await self.enter_async_context(self.link)
        self.client = await self.enter_async_context(client_module.Client())
        store = store_module.LogStore(
            self.client, await self.link.via(self._store_address)
        )
        self.node = node_module.Node(
            identity_module.Identity(self.name, self.address, 'a'),
            node_module.Platform(
                store,
                registry_module.StoreRegistry(store),
                typing.cast(typing.Any, None),
                typing.cast(typing.Any, None),
                configuration.StoreConfigurationSource(store, clock),
            ),
            bounds_module.Bounds(),
            clock,
        )
        await self.enter_async_context(self.node)
        return self

    @property
    def version(self) -> int:
        """Return the version in force, 0 if there is none."""
        index = self.node.index
        return index.configuration.version if index is not None else 0


class ConfigurationCase(unittest.IsolatedAsyncioTestCase):
    """Test case with a store and daemons whose links may be narrow."""

    async def asyncSetUp(self) -> None:
        self.store = platform.StandinStore()
        await self.enterAsyncContext(self.store)
        self.published_s: dict[int, float] = {}
        self.daemons: list[Daemon] = []
        self.stream = io.StringIO()
        events.configure_logging(self.stream)
        self.addCleanup(loguru.logger.remove)
        self._route_links()

    def _route_links(self) -> None:
        # Connections between daemons go through the link of the daemon that
        # opens them, which is known by its handler.
        connect = link_module.connect

        async def connect_through_link(
            address: str, handler: typing.Any, timeout_ms: int
        ) -> link_module.Link:
            for daemon in self.daemons:
                if getattr(handler, '__self__', None) is daemon.node:
                    address = await daemon.link.via(address)
            return await connect(address, handler, timeout_ms)

        patch = unittest.mock.patch.object(
            link_module, 'connect', connect_through_link
        )
        self.enterContext(patch)

    async def start(
        self, name: str, rate: float = NARROW_LINK_BYTES_S
    ) -> Daemon:
        """Start a daemon on a link of ``rate`` bytes per second."""
        daemon = Daemon(name, self.store.server.address, rate)
        self.daemons.append(daemon)
        await self.enterAsyncContext(daemon)
        return daemon

    async def start_leader(self) -> Daemon:
        """Start a daemon on a wide link and wait until it leads."""
        daemon = await self.start('leader', rate=12_500_000.0)
        await self.wait_until(lambda: daemon.node.is_ready)
        return daemon

    def publish(self, version: int, **changes: typing.Any) -> None:
        """Publish a version of the configuration."""
        self.published_s[version] = time.monotonic()
        self.store.put(
            'keyed.op',
            'config',
            platform.make_configuration(version, **changes),
        )

    async def wait_until(
        self,
        condition: typing.Callable[[], bool],
        timeout_s: float = _START_TIMEOUT_S,
    ) -> float:
        """Wait for a condition; return how long it took in s."""
        begun_s = time.monotonic()
        while not condition():
            if time.monotonic() - begun_s > timeout_s:
                self.fail(
                    f'not within {timeout_s} s; last log lines: '
                    f'{self.stream.getvalue()[-2_000:]}'
                )
            await asyncio.sleep(0.005)
        return time.monotonic() - begun_s

    def lines(self, name: str) -> list[dict[str, typing.Any]]:
        """Return the log lines of an event."""
        lines = map(json.loads, self.stream.getvalue().splitlines())
        return [line for line in lines if line['name'] == name]
