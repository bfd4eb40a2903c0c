"""Define the settings file of a daemon."""

import typing

import msgspec

from basilspindle import document
from basilspindle.settings import request_limits
from basilspindle.settings import tls as tls_module


class Settings(msgspec.Struct, frozen=True, kw_only=True):
    """Local settings of one daemon, read before the configuration.

    Addresses are ``ip:port``. The daemon listens on ``api_address`` and
    ``peer_address``; others connect to the advertised ones, which default
    to these. The key whose hash is ``bootstrap_operator_sha256`` is an
    operator key until the first configuration is published.
    """

    member_id: document.Name
    region: document.Name
    failure_domain: document.Name
    api_address: str
    peer_address: str
    log_url: str
    vm_list_url: str
    advertised_api_address: str = ''
    advertised_peer_address: str = ''
    peers: list[str] = []
    bootstrap_operator_sha256: document.Sha256 | None = None
    tls: tls_module.Tls = tls_module.Tls()
    log_level: typing.Literal['DEBUG', 'INFO', 'WARNING', 'ERROR'] = 'INFO'
    limits: request_limits.RequestLimits = request_limits.RequestLimits()

    @property
    def public_api_address(self) -> str:
        """Return the address at which callers reach the API."""
        return self.advertised_api_address or self.api_address

    @property
    def public_peer_address(self) -> str:
        """Return the address at which other daemons reach this one."""
        return self.advertised_peer_address or self.peer_address
