"""Keyed hashes that authenticate messages, with key rotation."""

import collections.abc
import hashlib
import hmac

DIGEST_BYTES = 16


class KeyRing:
    """Signs with the first key and accepts all keys of the ring.

    To rotate keys, append the new key on all hosts, then move it to the
    front on all hosts, then remove the old one.

    Parameters
    ----------
    keys : sequence of (int, bytes)
        Id and secret of each key, the signing key first.
    """

    def __init__(
        self, keys: collections.abc.Sequence[tuple[int, bytes]]
    ) -> None:
        self.signing_id = keys[0][0]
        self._secrets = dict(keys)

    def sign(self, body: bytes) -> bytes:
        """Return the digest of ``body`` with the signing key."""
        return _digest(self._secrets[self.signing_id], body)

    def has_key(self, key_id: int) -> bool:
        """Return whether the ring contains a key."""
        return key_id in self._secrets

    def verify(self, key_id: int, digest: bytes, body: bytes) -> bool:
        """Return whether ``digest`` is that of ``body`` with the given key."""
        secret = self._secrets.get(key_id)
        if secret is None:
            return False
        return hmac.compare_digest(digest, _digest(secret, body))


def _digest(secret: bytes, body: bytes) -> bytes:
    return hashlib.blake2b(
        body,
        key=secret[: hashlib.blake2b.MAX_KEY_SIZE],
        digest_size=DIGEST_BYTES,
    ).digest()
