"""Keys of the peer and operator ports, and hashes of organisations' keys."""

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

MIN_KEY_CHARACTERS = 16
KEY_FILE_POLL_PERIOD_S = 2.0

KEYS_RELOADED = events.define(1011, "keys-reloaded", "The changed key file was loaded.")
KEYS_KEPT = events.define(
    1012,
    "keys-kept",
    "The changed key file is invalid; the previous keys stay valid.",
)


class KeyRing:
    """The valid keys of a port; more than one during a rotation.

    Args:
      keys: the valid keys; the first one is used for outgoing calls.

    Raises:
      EndivesillError: there is no key.
    """

    def __init__(self, keys: Iterable[str]) -> None:
        self._keys = [key.encode() for key in keys]
        self._listeners: list[Callable[[], None]] = []
        if not self._keys:
            raise errors.EndivesillError("a key ring needs at least one key")

    def replace(self, other: KeyRing) -> None:
        """Replace the keys by those of another ring and notify the listeners."""
        self._keys = list(other._keys)
        for listener in self._listeners:
            listener()

    def subscribe(self, listener: Callable[[], None]) -> None:
        """Call a listener after each replacement of the keys."""
        self._listeners.append(listener)

    @classmethod
    def from_file(cls, path: str) -> KeyRing:
        """Read a key file with one key per line; lines that begin with # are comments.

        Raises:
          FindingsError: the file cannot be read, has no key or has a short key.
        """
        lines = read_text(path).splitlines()
        keys, findings = [], []
        for number, line in enumerate(lines, start=1):
            key = line.strip()
            if not key or key.startswith("#"):
                continue
            if len(key) < MIN_KEY_CHARACTERS:
                text = f"a key must have at least {MIN_KEY_CHARACTERS} characters"
                findings.append(Finding(path, number, text))
            keys.append(key)
        if not keys:
            findings.append(Finding(path, 0, "the key file contains no key"))
        if findings:
            raise errors.FindingsError(findings)
        return cls(keys)

    def valid_keys(self) -> tuple[str, ...]:
        """Return the valid keys; the first one is used for outgoing calls."""
        return tuple(key.decode() for key in self._keys)

    def authorization(self) -> str:
        """Return the Authorization header value for outgoing calls."""
        return f"Bearer {self._keys[0].decode()}"

    def sign(self, message: bytes) -> bytes:
        """Return the HMAC-SHA-256 of a message under the first key."""
        return hmac.digest(self._keys[0], message, "sha256")

    def signatures(self, message: bytes) -> list[bytes]:
        """Return the HMAC-SHA-256 of a message under each valid key."""
        return [hmac.digest(key, message, "sha256") for key in self._keys]

    def accepts(self, authorization: str | None) -> bool:
        """Return whether an Authorization header carries a valid key.

        The comparison takes constant time, so that it does not reveal a key.
        """
        key = (bearer_key(authorization) or "").encode()
        matches = [hmac.compare_digest(key, valid) for valid in self._keys]
        return any(matches)


class KeyFileWatcher(Service):
    """Reloads a key file when it changes.

    Args:
      timer: the timer service.
      keys: the ring whose keys are replaced.
      path: the key file.
    """

    def __init__(self, timer: TimerService, keys: KeyRing, path: str) -> None:
        self._timer = timer
        self._keys = keys
        self._path = path
        self._version = self._file_version()
        self._handle: TimerHandle | None = None

    async def start(self) -> None:
        """Start polling the file."""
        self._handle = self._timer.call_every(KEY_FILE_POLL_PERIOD_S, self.poll)

    async def stop(self) -> None:
        """Stop polling the file."""
        if self._handle is not None:
            self._handle.cancel()

    def poll(self) -> None:
        """Load the file if it has changed; keep the keys if it is invalid."""
        version = self._file_version()
        if version == self._version:
            return
        self._version = version
        try:
            keys = KeyRing.from_file(self._path)
        except errors.FindingsError as error:
            events.emit(KEYS_KEPT, file=self._path, error=str(error))
            return
        self._keys.replace(keys)
        events.emit(KEYS_RELOADED, file=self._path, count=len(keys.valid_keys()))

    def _file_version(self) -> tuple[int, int, int]:
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
