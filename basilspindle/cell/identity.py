"""Name one daemon process of a cell."""

import secrets


class Identity:
    """Node name, address for links, and a value unique to the process."""

    __slots__ = ('node', 'address', 'failure_domain', 'incarnation')

    def __init__(self, node: str, address: str, failure_domain: str) -> None:
        self.node = node
        self.address = address
        self.failure_domain = failure_domain
        self.incarnation = secrets.token_hex(8)
