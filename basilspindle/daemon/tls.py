"""Make TLS contexts for calls between daemons."""

import ssl

from basilspindle import settings

_ALPN = ['h2']


def server_context(files: settings.PeerTls | None) -> ssl.SSLContext | None:
    """Return a context that demands the certificate of a peer."""
    return _make_context(files, ssl.Purpose.CLIENT_AUTH)


def client_context(files: settings.PeerTls | None) -> ssl.SSLContext | None:
    """Return a context that shows the certificate of this daemon."""
    context = _make_context(files, ssl.Purpose.SERVER_AUTH)
    if context is not None:
        # Daemons are addressed by IP number; the authority vouches for
        # them, and only daemons have its certificates.
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
