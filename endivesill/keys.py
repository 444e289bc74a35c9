"""Keys of the peer and operator ports and of organisations."""

from __future__ import annotations

import hashlib
import hmac
import pathlib
from collections.abc import Callable, Iterable

from endivesill import errors, events
from endivesill.findings import Finding
from endivesill.ini import read_text
from endivesill.kernel import Service
from endivesill.timer import TimerHandle, TimerService

__all__ = ["KeyFileWatcher", "KeyRing", "bearer_key", "hash_key"]

MINIMUM_KEY_LENGTH = 16
KEY_FILE_POLL_S = 2.0

KEYS_RELOADED = events.define(1011, "keys-reloaded", "The key file was read again.")
KEYS_KEPT = events.define(
    1012,
    "keys-kept",
    "The key file has changed but cannot be used; the former keys stay valid.",
)


class KeyRing:
    """The valid keys of a port; during a rotation there are two.

    Args:
      keys: the keys; the first is the one to send.
    """

    def __init__(self, keys: Iterable[str]) -> None:
        self._keys = [key.encode() for key in keys]
        self._listeners: list[Callable[[], None]] = []
        if not self._keys:
            raise errors.EndivesillError("a key ring needs one key at least")

    def replace(self, other: KeyRing) -> None:
        """Take another ring's keys, for everyone who holds this ring."""
        self._keys = list(other._keys)
        for listener in self._listeners:
            listener()

    def subscribe(self, listener: Callable[[], None]) -> None:
        """Call a listener after the keys were replaced."""
        self._listeners.append(listener)

    @classmethod
    def from_file(cls, path: str) -> KeyRing:
        """Read a key file: one key a line, lines with # are comments.

        Raises:
          FindingsError: the file cannot be read or a key is too short.
        """
        lines = read_text(path).splitlines()
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


class KeyFileWatcher(Service):
    """Reads a key file again when it changes.

    Args:
      timer: the timer service.
      keys: the ring that takes the file's keys.
      path: the key file.
    """

    def __init__(self, timer: TimerService, keys: KeyRing, path: str) -> None:
        self._timer = timer
        self._keys = keys
        self._path = path
        self._version = self._read_version()
        self._handle: TimerHandle | None = None

    async def start(self) -> None:
        """Begin to look at the file."""
        self._handle = self._timer.call_every(KEY_FILE_POLL_S, self.poll)

    async def stop(self) -> None:
        """Look no more."""
        if self._handle is not None:
            self._handle.cancel()

    def poll(self) -> None:
        """Read the file if it has changed; a wrong file changes no key."""
        version = self._read_version()
        if version == self._version:
            return
        self._version = version
        try:
            keys = KeyRing.from_file(self._path)
        except errors.FindingsError as error:
            events.emit(KEYS_KEPT, file=self._path, error=str(error))
            return
        self._keys.replace(keys)
        events.emit(KEYS_RELOADED, file=self._path, count=len(keys.texts()))

    def _read_version(self) -> tuple[int, int, int]:
        try:
            status = pathlib.Path(self._path).stat()
        except OSError:
            return (0, 0, 0)
        return (status.st_mtime_ns, status.st_size, status.st_ino)


def bearer_key(authorization: str | None) -> str | None:
    """Return the key of a bearer Authorization header, or None."""
    scheme, _, key = (authorization or "").partition(" ")
    if scheme.lower() != "bearer" or not key.strip():
        return None
    return key.strip()


def hash_key(key: str) -> str:
    """Return the SHA-256 of an organisation's key, in hex."""
    return hashlib.sha256(key.encode()).hexdigest()
