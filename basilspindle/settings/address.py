"""Check the addresses and URLs of a settings file."""

import ipaddress
import urllib.parse

_MAX_PORT = 65_535


def check_address(text: str, *, reachable: bool) -> str:
    """Return what is wrong with an ``ip:port``; '' if it is valid.

    ``reachable`` requires an address that other machines can connect to,
    which excludes ``0.0.0.0`` and ``[::]``.
    """
    host, _, port = text.rpartition(':')
    if not port.isascii() or not port.isdecimal():
        return 'the port is missing or not a number'
    if not 0 < int(port) <= _MAX_PORT:
        return f'port {port} is not between 1 and {_MAX_PORT}'
    try:
        ip = _parse_ip(host)
    except ValueError:
        return f'"{host}" is not an IP address'
    if reachable and ip.is_unspecified:
        return f'nobody can connect to {host}'
    return ''


def check_url(text: str) -> str:
    """Return what is wrong with an HTTP URL; '' if it is valid."""
    try:
        parts = urllib.parse.urlsplit(text)
        port = parts.port
    except ValueError as error:
        return str(error)
    if parts.scheme not in ('http', 'https'):
        return 'the scheme is not http or https'
    if not parts.hostname or port == 0:
        return 'the host is missing or the port is 0'
    if parts.username or parts.password or parts.query or parts.fragment:
        return 'it has a user name, a password, a query or a fragment'
    return ''


def _parse_ip(
    host: str,
) -> ipaddress.IPv4Address | ipaddress.IPv6Address:
    if host.startswith('[') and host.endswith(']'):
        return ipaddress.IPv6Address(host[1:-1])
    return ipaddress.IPv4Address(host)
