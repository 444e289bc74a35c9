"""TLS of the listeners and clients, by the standard library's ssl."""

from __future__ import annotations

import ssl
from typing import Any

import attrs

from endivesill import errors, schema
from endivesill.findings import Finding
from endivesill.settings import settings_section

__all__ = ["TlsSettings", "client_context", "server_options"]


@settings_section("tls")
@attrs.frozen
class TlsSettings:
    """TLS of the peer and operator ports, and of the callers' port if wanted."""

    certificate: str = schema.field(
        "file of this VM's certificate, in PEM; without it the ports are plain HTTP",
        default="",
    )
    key: str = schema.field("file of the certificate's key, in PEM", default="")
    ca: str = schema.field(
        "file of the authorities that sign the VMs' certificates, in PEM", default=""
    )
    callers: bool = schema.field(
        "the callers' port speaks TLS too, with the same certificate", default=False
    )

    @property
    def enabled(self) -> bool:
        """Whether the peer and operator ports speak TLS."""
        return bool(self.certificate)

    @property
    def scheme(self) -> str:
        """The scheme of the peer and operator ports' addresses."""
        return "https" if self.enabled else "http"


def server_options(settings: TlsSettings) -> dict[str, Any]:
    """Return the options that a listener takes; none without a certificate.

    Raises:
      FindingsError: a file cannot be used.
    """
    if not settings.enabled:
        return {}
    _check(settings)
    return {
        "ssl_certfile": settings.certificate,
        "ssl_keyfile": settings.key or None,
    }


def client_context(settings: TlsSettings) -> ssl.SSLContext | None:
    """Return the context of a client; None without a certificate or authority.

    Raises:
      FindingsError: a file cannot be used.
    """
    if not settings.enabled and not settings.ca:
        return None
    return trusting_context(settings.ca)


def trusting_context(ca: str) -> ssl.SSLContext:
    """Return a client's context that trusts the authorities of a file.

    Raises:
      FindingsError: the file cannot be used.
    """
    try:
        return ssl.create_default_context(cafile=ca or None)
    except (OSError, ssl.SSLError) as error:
        raise errors.FindingsError([Finding(ca, 0, str(error))]) from None


def _check(settings: TlsSettings) -> None:
    context = ssl.SSLContext(ssl.PROTOCOL_TLS_SERVER)
    try:
        context.load_cert_chain(settings.certificate, settings.key or None)
    except (OSError, ssl.SSLError) as error:
        raise errors.FindingsError(
            [Finding(settings.certificate, 0, str(error))]
        ) from None
