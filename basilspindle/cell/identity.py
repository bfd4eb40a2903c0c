"""Identify one daemon process of a cell."""

import secrets


class Identity:
    """Name, address and failure domain of a daemon.

    ``address`` accepts the connections of other daemons, and ``incarnation``
    is unique to the process. A daemon on a small VM is marked ``leads_last``:
    it becomes leader only if no daemon on a larger VM does.
    """

    __slots__ = (
        'node',
        'address',
        'failure_domain',
        'leads_last',
        'incarnation',
    )

    def __init__(
        self,
        node: str,
        address: str,
        failure_domain: str,
        leads_last: bool = False,
    ) -> None:
        self.node = node
        self.address = address
        self.failure_domain = failure_domain
        self.leads_last = leads_last
        self.incarnation = secrets.token_hex(8)
