"""Run a daemon on the users' platform."""

import asyncio
import os
import signal
import sys

from basilspindle.cell import events as cell_events
from basilspindle.cell import identity as identity_module
from basilspindle.cell import node as node_module
from basilspindle import clock as clock_module
from basilspindle import errors
from basilspindle import events
from basilspindle.platform import advice as advice_module
from basilspindle.platform import boot as boot_module
from basilspindle.platform import client as client_module
from basilspindle.platform import configuration
from basilspindle.platform import front as front_module
from basilspindle.platform import listener
from basilspindle.platform import operations
from basilspindle.platform import registry as registry_module
from basilspindle.platform import store as store_module
from basilspindle.platform import workers as workers_module

_VARIABLE = 'BASILSPINDLE_BOOT'
_EXIT_SETTINGS = 2
_EXIT_FAILED = 1
# The balancer stops sending within two checks a second apart; requests in
# flight end in the rest of the time that a stop may take.
_LINGER_MS = 2_600
_STOP_MARGIN_MS = 1_000
_ANSWER_MARGIN_MS = 300
_STOP_POLL_MS = 50


def main() -> None:
    """Serve until SIGTERM."""
    path = os.environ.get(_VARIABLE, '')
    try:
        boot = boot_module.load(path)
    except errors.SettingsInvalid as error:
        print(error.message, file=sys.stderr)
        sys.exit(_EXIT_SETTINGS)
    events.configure_logging(sys.stdout, 'INFO')
    try:
        code = asyncio.run(_run(boot, path))
    except OSError as error:
        print(
            f'cannot start: {error}; check the addresses in the settings '
            'and that nothing else uses them',
            file=sys.stderr,
        )
        code = _EXIT_FAILED
    sys.exit(code)


async def _run(boot: boot_module.Boot, path: str) -> int:
    loop = asyncio.get_running_loop()
    stop = asyncio.Event()
    loop.add_signal_handler(signal.SIGTERM, stop.set)
    loop.add_signal_handler(signal.SIGINT, stop.set)
    loop.add_signal_handler(signal.SIGHUP, _reload, path)
    clock = clock_module.Clock()
    identity = identity_module.Identity(
        boot.node,
        boot.link_address,
        boot.failure_domain,
        boot.leads_last,
    )
    names = {boot.store_address: 'store', boot.advice_address: 'advice'}
    limit = boot.call_connections
    async with client_module.Client(names, limit) as client:
        store = store_module.LogStore(client, boot.store_address)
        platform = node_module.Platform(
            store,
            registry_module.StoreRegistry(store),
            workers_module.HttpWorkers(client),
            advice_module.HttpAdvice(client, boot.advice_address),
            configuration.StoreConfiguration(store, clock),
        )
        node = node_module.Node(identity, platform, boot.bounds, clock)
        front = front_module.Front(node, clock)
        async with (
            node,
            listener.Listener(front, boot.caller_address),
            listener.Listener(front, boot.readiness_address),
            listener.Listener(
                operations.Operations(node), boot.metrics_address
            ),
        ):
            loop.add_signal_handler(
                signal.SIGUSR1,
                lambda: events.emit(
                    cell_events.STATE_DUMPED, state=node.dump()
                ),
            )
            events.emit(
                cell_events.NODE_STARTED,
                node=boot.node,
                incarnation=identity.incarnation,
            )
            await _wait_any(stop, node.failed)
            if not stop.is_set():
                return _EXIT_FAILED
            events.emit(cell_events.NODE_STOPPING, node=boot.node)
            grace_ms = boot.bounds.grace_ms - _STOP_MARGIN_MS
            front.ends_ms = clock.now_ms() + grace_ms - _ANSWER_MARGIN_MS
            leaving = asyncio.ensure_future(node.leave())
            await node.stop()
            await _drain(front, clock, grace_ms)
            leaving.cancel()
    events.emit(cell_events.NODE_STOPPED, node=boot.node)
    return 0


async def _drain(
    front: front_module.Front, clock: clock_module.Clock, grace_ms: int
) -> None:
    begun_ms = clock.now_ms()
    while True:
        spent_ms = clock.now_ms() - begun_ms
        if spent_ms > grace_ms:
            return
        if spent_ms > _LINGER_MS and not front.in_flight:
            return
        await clock.sleep_ms(_STOP_POLL_MS)


async def _wait_any(*signals: asyncio.Event) -> None:
    tasks = [asyncio.ensure_future(each.wait()) for each in signals]
    await asyncio.wait(tasks, return_when=asyncio.FIRST_COMPLETED)
    for task in tasks:
        task.cancel()


def _reload(path: str) -> None:
    # Addresses cannot change while the process runs; the file is checked,
    # and takes effect at the next start.
    try:
        boot_module.load(path)
    except errors.SettingsInvalid as error:
        events.emit(cell_events.SETTINGS_RELOADED, error=error.message)
        return
    events.emit(cell_events.SETTINGS_RELOADED, error='')


if __name__ == '__main__':
    main()
