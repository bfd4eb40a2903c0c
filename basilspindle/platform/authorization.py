"""Find the queue of a request and the workspace of its API key."""

from basilspindle.cell import configuration as configuration_module
from basilspindle.cell import configuration_index
from basilspindle.cell import node as node_module
from basilspindle import errors

_BEHIND_RETRY_MS = 1_000


def authorize(
    node: node_module.Node, path: str, headers: dict[bytes, bytes]
) -> tuple[configuration_module.QueueConfig, str]:
    """Return the queue that serves a path, and the workspace of the key.

    Raises ``NotFound``, ``KeyInvalid`` or ``NotReady``.
    """
    index = loaded_index(node)
    host = headers.get(b'host', b'').decode('latin-1')
    queue = index.queue_of(host, path)
    if queue is None:
        raise_unless_current(node)
        raise errors.NotFound('no such queue; check host and path')
    return queue, workspace_for(node, index, queue, headers)


def loaded_index(
    node: node_module.Node,
) -> configuration_index.ConfigurationIndex:
    """Return the configuration in force; raises ``NotReady`` without one."""
    index = node.index
    if index is None:
        raise errors.NotReady(
            'no configuration has been loaded yet; retry later',
            retry_after_ms=1_000,
        )
    return index


def workspace_for(
    node: node_module.Node,
    index: configuration_index.ConfigurationIndex,
    queue: configuration_module.QueueConfig,
    headers: dict[bytes, bytes],
) -> str:
    """Return the workspace of the key that a request to a queue has.

    An open queue needs no API key, and its jobs belong to no workspace.
    """
    if queue.is_open:
        return ''
    scheme, _, key = (
        headers.get(b'authorization', b'').decode('latin-1').partition(' ')
    )
    workspace = index.workspace_of(key.strip())
    if scheme.lower() != 'bearer' or workspace is None:
        raise_unless_current(node)
        raise errors.KeyInvalid(
            'the API key is missing or unknown; use a valid one'
        )
    return workspace


def raise_unless_current(node: node_module.Node) -> None:
    """Raise ``NotReady`` if a newer configuration is being read.

    The newer version may have the queue or the key.
    """
    if node.is_configuration_behind:
        raise errors.NotReady(
            'a newer configuration is being read; retry later',
            retry_after_ms=_BEHIND_RETRY_MS,
        )
