"""Name one daemon process of a cell."""

import secrets


class Identity:
    """Node name, address for links, and a value unique to the process.

    ``leads_last`` marks a daemon whose VM is small: it leads only if no
    larger one comes forward.
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
