"""Keys of the peer and operator ports and of organisations."""

from __future__ import annotations

import hashlib
import hmac
import pathlib
from collections.abc import Iterable

from endivesill import errors
from endivesill.findings import Finding

__all__ = ["KeyRing", "bearer_key", "hash_key"]

MINIMUM_KEY_LENGTH = 16


class KeyRing:
    """The valid keys of a port; during a rotation there are two.

    Args:
      keys: the keys; the first is the one to send.
    """

    def __init__(self, keys: Iterable[str]) -> None:
        self._keys = [key.encode() for key in keys]
        if not self._keys:
            raise errors.EndivesillError("a key ring needs one key at least")

    @classmethod
    def from_file(cls, path: str) -> KeyRing:
        """Read a key file: one key a line, lines with # are comments.

        Raises:
          FindingsError: the file cannot be read or a key is too short.
        """
        try:
            lines = pathlib.Path(path).read_text(encoding="utf-8").splitlines()
        except (OSError, UnicodeDecodeError) as error:
            raise errors.FindingsError([Finding(path, 0, str(error))]) from None
        keys, findings = [], []
        for number, line in enumerate(lines, start=1):
            key = line.strip()
            if not key or key.startswith("#"):
                continue
            if len(key) < MINIMUM_KEY_LENGTH:
                text = f"a key has {MINIMUM_KEY_LENGTH} characters at least"
                findings.append(Finding(path, number, text))
            keys.append(key)
        if not keys:
            findings.append(Finding(path, 0, "holds no key"))
        if findings:
            raise errors.FindingsError(findings)
        return cls(keys)

    def texts(self) -> tuple[str, ...]:
        """Return the valid keys, the one to send first."""
        return tuple(key.decode() for key in self._keys)

    def authorization(self) -> str:
        """Return the value of the Authorization header to send."""
        return f"Bearer {self._keys[0].decode()}"

    def sign(self, message: bytes) -> bytes:
        """Return the HMAC-SHA-256 of a message under the key to send."""
        return hmac.digest(self._keys[0], message, "sha256")

    def signatures(self, message: bytes) -> list[bytes]:
        """Return the HMAC-SHA-256 of a message under each valid key."""
        return [hmac.digest(key, message, "sha256") for key in self._keys]

    def accepts(self, authorization: str | None) -> bool:
        """Tell whether an Authorization header carries a valid key.

        The comparison takes the same time wherever the keys differ.
        """
        key = (bearer_key(authorization) or "").encode()
        matches = [hmac.compare_digest(key, valid) for valid in self._keys]
        return any(matches)


def bearer_key(authorization: str | None) -> str | None:
    """Return the key of a bearer Authorization header, or None."""
    scheme, _, key = (authorization or "").partition(" ")
    if scheme.lower() != "bearer" or not key.strip():
        return None
    return key.strip()


def hash_key(key: str) -> str:
    """Return the SHA-256 of an organisation's key, in hex."""
    return hashlib.sha256(key.encode()).hexdigest()
