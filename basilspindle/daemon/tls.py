"""Create the TLS contexts of connections between daemons."""

import ssl

from basilspindle import settings

_ALPN = ['h2']


def server_context(files: settings.PeerTls | None) -> ssl.SSLContext | None:
    """Return a server context that requires a client certificate."""
    return _make_context(files, ssl.Purpose.CLIENT_AUTH)


def client_context(files: settings.PeerTls | None) -> ssl.SSLContext | None:
    """Return a client context that presents this daemon's certificate."""
    context = _make_context(files, ssl.Purpose.SERVER_AUTH)
    if context is not None:
        # Daemons are addressed by IP address, which certificates need not
        # name. The certificate authority issues certificates to daemons
        # only, so verifying the chain is sufficient.
        context.check_hostname = False
    return context


def _make_context(
    files: settings.PeerTls | None, purpose: ssl.Purpose
) -> ssl.SSLContext | None:
    if files is None:
        return None
    context = ssl.create_default_context(purpose, cafile=files.ca_file)
    context.load_cert_chain(files.cert_file, files.key_file)
    context.verify_mode = ssl.CERT_REQUIRED
    context.set_alpn_protocols(_ALPN)
    return context
