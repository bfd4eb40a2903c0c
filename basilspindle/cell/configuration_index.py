"""Look up queues and workspaces in the active configuration."""

from basilspindle.cell import configuration as configuration_module


class _HostQueues:
    """Queues of one host by path prefix."""

    __slots__ = ('_by_prefix', '_lengths')

    def __init__(self) -> None:
        self._by_prefix: dict[str, configuration_module.QueueConfig] = {}
        # Lengths of the prefixes, the longest first. There are few, however
        # many queues a host has.
        self._lengths: list[int] = []

    def add(self, queue: configuration_module.QueueConfig) -> None:
        """Add a queue unless its prefix is taken."""
        self._by_prefix.setdefault(queue.prefix, queue)
        length = len(queue.prefix)
        if length not in self._lengths:
            self._lengths.append(length)
            self._lengths.sort(reverse=True)

    def longest_match(
        self, path: str
    ) -> configuration_module.QueueConfig | None:
        """Return the queue with the longest prefix of a path."""
        for length in self._lengths:
            queue = self._by_prefix.get(path[:length])
            if queue is not None:
                return queue
        return None


class ConfigurationIndex:
    """Look up queues by request path and workspaces by API key."""

    __slots__ = (
        'configuration',
        'queues',
        'workspaces',
        'pools',
        '_by_host',
        '_by_key',
    )

    def __init__(
        self, configuration: configuration_module.Configuration
    ) -> None:
        self.configuration = configuration
        self.queues = {queue.name: queue for queue in configuration.queues}
        self.workspaces = {
            workspace.name: workspace for workspace in configuration.workspaces
        }
        # Names of the pools, also of those that a queue alone names.
        self.pools = {pool.name for pool in configuration.pools} | {
            queue.pool for queue in configuration.queues
        }
        self._by_host: dict[str, _HostQueues] = {}
        for queue in configuration.queues:
            host = queue.host.lower()
            if host not in self._by_host:
                self._by_host[host] = _HostQueues()
            self._by_host[host].add(queue)
        self._by_key = {
            key: workspace.name
            for workspace in configuration.workspaces
            for key in workspace.keys
        }

    def queue_of(
        self, host: str, path: str
    ) -> configuration_module.QueueConfig | None:
        """Return the queue with the longest matching path prefix."""
        queues = self._by_host.get(host.partition(':')[0].lower())
        return queues.longest_match(path) if queues is not None else None

    def workspace_of(self, key: str) -> str | None:
        """Return the name of the workspace that an API key belongs to."""
        return self._by_key.get(key)
