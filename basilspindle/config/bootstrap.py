"""Check the operator key that is valid before the first publish."""

import hmac

from basilspindle.config import identity as identity_module
from basilspindle.config import keyring
from basilspindle import errors

_DEFAULT_KEY_ID = 'bootstrap'


class BootstrapKey:
    """Check keys against the hash in the settings; '' allows no key."""

    __slots__ = ('_sha256',)

    def __init__(self, sha256: str) -> None:
        self._sha256 = sha256

    def check(self, text: str) -> identity_module.Identity:
        """Return the operator identity of a key; raises ``KeyInvalid``."""
        matches = hmac.compare_digest(keyring.digest_key(text), self._sha256)
        if not matches:
            raise errors.KeyInvalid(
                'there is no configuration yet and this is not the bootstrap '
                'key; use the key whose hash is bootstrap_operator_sha256 in '
                'the settings of the daemon'
            )
        return identity_module.Identity(
            key_id=keyring.parse_key_id(text) or _DEFAULT_KEY_ID,
            role='operator',
        )
