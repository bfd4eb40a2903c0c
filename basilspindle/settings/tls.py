"""Define the TLS files of a daemon."""

import msgspec


class ApiTls(msgspec.Struct, frozen=True, kw_only=True):
    """Server certificate and key of the API, as PEM files.

    ``ca_file`` must be readable if it is set; the server does not use it.
    """

    cert_file: str
    key_file: str
    ca_file: str | None = None


class PeerTls(msgspec.Struct, frozen=True, kw_only=True):
    """Certificate, key and authority for mutual TLS, as PEM files."""

    cert_file: str
    key_file: str
    ca_file: str


class Tls(msgspec.Struct, frozen=True, kw_only=True):
    """TLS of the API and between daemons; None means plain TCP."""

    api: ApiTls | None = None
    peer: PeerTls | None = None
