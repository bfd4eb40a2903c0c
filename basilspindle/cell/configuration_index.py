"""Look up queues and workspaces in the active configuration."""

from basilspindle.cell import configuration as configuration_module


class ConfigurationIndex:
    """Look up queues by request path and workspaces by API key."""

    __slots__ = (
        'configuration',
        'queues',
        'workspaces',
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
        self._by_host: dict[str, list[configuration_module.QueueConfig]] = {}
        for queue in sorted(
            configuration.queues, key=lambda queue: -len(queue.prefix)
        ):
            self._by_host.setdefault(queue.host.lower(), []).append(queue)
        self._by_key = {
            key: workspace.name
            for workspace in configuration.workspaces
            for key in workspace.keys
        }

    def queue_of(
        self, host: str, path: str
    ) -> configuration_module.QueueConfig | None:
        """Return the queue with the longest matching path prefix."""
        name = host.partition(':')[0].lower()
        for queue in self._by_host.get(name, ()):
            if path.startswith(queue.prefix):
                return queue
        return None

    def workspace_of(self, key: str) -> str | None:
        """Return the name of the workspace that an API key belongs to."""
        return self._by_key.get(key)
