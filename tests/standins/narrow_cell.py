"""Run daemons of the platform in this process, each on its own link."""

import asyncio
import contextlib
import hashlib
import time
import typing
import unittest.mock

from basilspindle.cell import bounds as bounds_module
from basilspindle.cell import identity as identity_module
from basilspindle.cell import link as link_module
from basilspindle.cell import node as node_module
from basilspindle import clock as clock_module
from basilspindle.platform import client as client_module
from basilspindle.platform import configuration
from basilspindle.platform import registry as registry_module
from basilspindle.platform import store as store_module
from tests.standins import local_cluster
from tests.standins import narrow_link
from tests.standins import platform

# 5 Mbit/s, the narrowest link of a VM at the users' sites.
NARROW_LINK_BYTES_S = 625_000.0
WIDE_LINK_BYTES_S = 12_500_000.0
START_TIMEOUT_S = 20.0
_POLL_S = 0.005


class NodeDaemon(contextlib.AsyncExitStack):
    """Node with its own client and its own link to everything else."""

    def __init__(self, name: str, store_address: str, rate: float) -> None:
        super().__init__()
        self.name = name
        self.address = f'127.0.0.1:{local_cluster.free_port()}'
        self.link = narrow_link.NarrowLink(rate)
        self._store_address = store_address

    async def __aenter__(self) -> typing.Self:
        clock = clock_module.Clock()
        await self.enter_async_context(self.link)
        client = await self.enter_async_context(client_module.Client())
        store = store_module.LogStore(
            client, await self.link.via(self._store_address)
        )
        self.node = node_module.Node(
            identity_module.Identity(self.name, self.address, 'a'),
            node_module.Platform(
                store,
                registry_module.StoreRegistry(store),
                # There are no workers and no advice service.
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


class NarrowCell(contextlib.AsyncExitStack):
    """Store and daemons whose links may be narrow."""

    def __init__(self) -> None:
        super().__init__()
        self.store = platform.StandinStore()
        self.daemons: list[NodeDaemon] = []
        # Monotonic time at which each version was published.
        self.published_s: dict[int, float] = {}

    async def __aenter__(self) -> typing.Self:
        await self.enter_async_context(self.store)
        self._route_links()
        return self

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

        self.enter_context(
            unittest.mock.patch.object(
                link_module, 'connect', connect_through_link
            )
        )

    async def start(
        self, name: str, rate: float = NARROW_LINK_BYTES_S
    ) -> NodeDaemon:
        """Start a daemon on a link of ``rate`` bytes per second."""
        daemon = NodeDaemon(name, self.store.server.address, rate)
        self.daemons.append(daemon)
        await self.enter_async_context(daemon)
        return daemon

    async def start_leader(self) -> NodeDaemon:
        """Start a daemon on a wide link and wait until it leads."""
        daemon = await self.start('leader', WIDE_LINK_BYTES_S)
        await wait_until(lambda: daemon.node.is_ready)
        return daemon

    def publish(self, version: int, **changes: typing.Any) -> None:
        """Publish a version of the configuration."""
        self.published_s[version] = time.monotonic()
        self.store.put(
            'keyed.op',
            'config',
            platform.make_configuration(version, **changes),
        )


def make_routes(count: int) -> tuple[str, ...]:
    """Return ``count`` names that compress as little as those of operators."""
    return tuple(
        hashlib.blake2b(b'%d' % number, digest_size=8).hexdigest()
        for number in range(count)
    )


async def wait_until(
    condition: typing.Callable[[], bool], timeout_s: float = START_TIMEOUT_S
) -> None:
    """Wait for a condition; raises ``TimeoutError``."""
    async with asyncio.timeout(timeout_s):
        while not condition():
            await asyncio.sleep(_POLL_S)
