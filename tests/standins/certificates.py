"""Issue certificates from a certificate authority made for a test."""

import datetime
import ipaddress
import pathlib

from cryptography.hazmat.primitives.asymmetric import ec
from cryptography.hazmat.primitives import hashes
from cryptography.hazmat.primitives import serialization
from cryptography import x509
from cryptography.x509 import oid

_LOOPBACK = ipaddress.ip_address('127.0.0.1')


class Authority:
    """Certificate authority for 127.0.0.1 that writes PEM files to a folder.

    ``path`` is the path of the authority's own certificate.
    """

    def __init__(self, folder: pathlib.Path, name: str) -> None:
        self._folder = folder
        self._name = _make_name(name)
        self._key = ec.generate_private_key(ec.SECP256R1())
        certificate = self._sign(self._name, self._key, is_authority=True)
        self.path = self._write(f'{name}.pem', _pem(certificate))

    def issue(self, name: str) -> tuple[str, str]:
        """Issue a certificate and return its path and that of its key."""
        key = ec.generate_private_key(ec.SECP256R1())
        certificate = self._sign(_make_name(name), key, is_authority=False)
        key_pem = key.private_bytes(
            serialization.Encoding.PEM,
            serialization.PrivateFormat.PKCS8,
            serialization.NoEncryption(),
        )
        return (
            self._write(f'{name}.crt', _pem(certificate)),
            self._write(f'{name}.key', key_pem),
        )

    def _sign(
        self,
        subject: x509.Name,
        key: ec.EllipticCurvePrivateKey,
        *,
        is_authority: bool,
    ) -> x509.Certificate:
        now = datetime.datetime.now(datetime.UTC)
        builder = (
            x509.CertificateBuilder()
            .subject_name(subject)
            .issuer_name(self._name)
            .public_key(key.public_key())
            .serial_number(x509.random_serial_number())
            .not_valid_before(now - datetime.timedelta(days=1))
            .not_valid_after(now + datetime.timedelta(days=1))
            .add_extension(x509.BasicConstraints(is_authority, None), True)
            .add_extension(
                x509.SubjectAlternativeName([x509.IPAddress(_LOOPBACK)]),
                False,
            )
        )
        return builder.sign(self._key, hashes.SHA256())

    def _write(self, name: str, data: bytes) -> str:
        path = self._folder / name
        path.write_bytes(data)
        return str(path)


def _make_name(common_name: str) -> x509.Name:
    return x509.Name(
        [x509.NameAttribute(oid.NameOID.COMMON_NAME, common_name)]
    )


def _pem(certificate: x509.Certificate) -> bytes:
    return certificate.public_bytes(serialization.Encoding.PEM)
