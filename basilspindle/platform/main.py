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
from basilspindle.platform import admin
from basilspindle.platform import advice as advice_module
from basilspindle.platform import boot_settings
from basilspindle.platform import client as client_module
from basilspindle.platform import configuration
from basilspindle.platform import connection_table
from basilspindle.platform import evacuation
from basilspindle.platform import frontend as frontend_module
from basilspindle.platform import listener
from basilspindle.platform import registry as registry_module
from basilspindle.platform import store as store_module
from basilspindle.platform import workers as workers_module

_SETTINGS_VARIABLE = 'BASILSPINDLE_BOOT'
_EXIT_SETTINGS_INVALID = 2
_EXIT_FAILED = 1
# The load balancer may send new requests until two readiness checks, one
# second apart, have failed. The rest of the grace period is for requests in
# flight.
_MIN_DRAIN_MS = 2_600
# Part of the grace period that is left for the exit after the drain.
_STOP_MARGIN_MS = 1_000
# Time for the last responses to reach the callers before the drain ends.
_RESPONSE_MARGIN_MS = 300
_STOP_POLL_MS = 50


def main() -> None:
    """Run the daemon until SIGTERM or SIGINT."""
    path = os.environ.get(_SETTINGS_VARIABLE, '')
    try:
        settings = boot_settings.load(path)
    except errors.SettingsInvalid as error:
        print(error.message, file=sys.stderr)
        sys.exit(_EXIT_SETTINGS_INVALID)
    events.configure_logging(sys.stdout, 'INFO')
    try:
        code = asyncio.run(_run(settings, path))
    except OSError as error:
        print(
            f'cannot start: {error}; check that the addresses in the '
            'settings are valid and not in use',
            file=sys.stderr,
        )
        code = _EXIT_FAILED
    sys.exit(code)


async def _run(settings: boot_settings.BootSettings, path: str) -> int:
    loop = asyncio.get_running_loop()
    stop_requested = asyncio.Event()
    loop.add_signal_handler(signal.SIGTERM, stop_requested.set)
    loop.add_signal_handler(signal.SIGINT, stop_requested.set)
    loop.add_signal_handler(signal.SIGHUP, _check_settings, path)
    clock = clock_module.Clock()
    identity = identity_module.Identity(
        settings.node,
        settings.link_address,
        settings.failure_domain,
        settings.leads_last,
    )
    dependency_names = {
        settings.store_address: 'store',
        settings.advice_address: 'advice',
    }
    max_connections = settings.max_connections
    async with client_module.Client(
        dependency_names, max_connections
    ) as client:
        store = store_module.LogStore(client, settings.store_address)
        platform = node_module.Platform(
            store,
            registry_module.StoreRegistry(store),
            workers_module.HttpWorkers(client),
            advice_module.HttpAdvice(client, settings.advice_address),
            configuration.StoreConfigurationSource(store, clock),
            evacuation.StoreEvacuationSource(store),
        )
        node = node_module.Node(identity, platform, settings.bounds, clock)
        frontend = frontend_module.Frontend(node, clock)
        limits = settings.client_limits
        limits.configured = lambda: (
            node.index.configuration.limits if node.index else None
        )
        held = connection_table.HeldBytes(limits.max_held_bytes)
        callers = connection_table.ConnectionTable(
            'callers', limits, held, limits.max_connections, refuses=True
        )
        readiness, operators = (
            connection_table.ConnectionTable(
                name, limits, held, limits.max_other_connections, refuses=False
            )
            for name in ('readiness', 'operators')
        )
        async with (
            node,
            listener.Listener(frontend, settings.frontend_address, callers),
            listener.Listener(frontend, settings.readiness_address, readiness),
            listener.Listener(
                admin.AdminApp(node, clock),
                settings.metrics_address,
                operators,
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
                node=settings.node,
                incarnation=identity.incarnation,
            )
            await _wait_any(stop_requested, node.failed)
            if not stop_requested.is_set():
                return _EXIT_FAILED
            events.emit(cell_events.NODE_STOPPING, node=settings.node)
            grace_ms = settings.bounds.grace_ms - _STOP_MARGIN_MS
            frontend.stop_deadline_ms = (
                clock.now_ms() + grace_ms - _RESPONSE_MARGIN_MS
            )
            leave_task = asyncio.ensure_future(node.leave())
            await node.stop()
            await _drain(frontend, clock, grace_ms)
            leave_task.cancel()
    events.emit(cell_events.NODE_STOPPED, node=settings.node)
    return 0


async def _drain(
    frontend: frontend_module.Frontend,
    clock: clock_module.Clock,
    grace_ms: int,
) -> None:
    started_ms = clock.now_ms()
    while True:
        elapsed_ms = clock.now_ms() - started_ms
        if elapsed_ms > grace_ms:
            return
        if elapsed_ms > _MIN_DRAIN_MS and not frontend.in_flight:
            return
        await clock.sleep_ms(_STOP_POLL_MS)


async def _wait_any(*signals: asyncio.Event) -> None:
    tasks = [asyncio.ensure_future(each.wait()) for each in signals]
    await asyncio.wait(tasks, return_when=asyncio.FIRST_COMPLETED)
    for task in tasks:
        task.cancel()


def _check_settings(path: str) -> None:
    # Addresses cannot change while the process runs, so the file is only
    # checked. It takes effect at the next start.
    try:
        boot_settings.load(path)
    except errors.SettingsInvalid as error:
        events.emit(cell_events.SETTINGS_RELOADED, error=error.message)
        return
    events.emit(cell_events.SETTINGS_RELOADED, error='')


if __name__ == '__main__':
    main()
