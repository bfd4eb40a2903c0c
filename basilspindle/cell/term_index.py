"""Look up queues and workspaces of the configuration in force."""

from basilspindle.cell import terms as terms_module


class TermIndex:
    """Find the queue of a request and the workspace of a key."""

    __slots__ = ('terms', 'queues', 'workspaces', '_by_host', '_by_key')

    def __init__(self, terms: terms_module.Terms) -> None:
        self.terms = terms
        self.queues = {queue.name: queue for queue in terms.queues}
        self.workspaces = {row.name: row for row in terms.workspaces}
        self._by_host: dict[str, list[terms_module.QueueTerms]] = {}
        for queue in sorted(
            terms.queues, key=lambda queue: -len(queue.prefix)
        ):
            self._by_host.setdefault(queue.host.lower(), []).append(queue)
        self._by_key = {
            key: row.name for row in terms.workspaces for key in row.keys
        }

    def queue_of(self, host: str, path: str) -> terms_module.QueueTerms | None:
        """Return the queue with the longest prefix of a path."""
        name = host.partition(':')[0].lower()
        for queue in self._by_host.get(name, ()):
            if path.startswith(queue.prefix):
                return queue
        return None

    def workspace_of(self, key: str) -> str | None:
        """Return the workspace that holds a key."""
        return self._by_key.get(key)
