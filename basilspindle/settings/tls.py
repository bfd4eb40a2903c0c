"""Name the files for TLS."""

import msgspec


class ApiTls(msgspec.Struct, frozen=True, kw_only=True):
    """Certificate and key that callers see, as PEM files."""

    cert_file: str
    key_file: str
    ca_file: str | None = None


class PeerTls(msgspec.Struct, frozen=True, kw_only=True):
    """Certificate, key and authority for the other daemons, as PEM files."""

    cert_file: str
    key_file: str
    ca_file: str


class Tls(msgspec.Struct, frozen=True, kw_only=True):
    """TLS for callers and between daemons; None means plain TCP."""

    api: ApiTls | None = None
    peer: PeerTls | None = None
