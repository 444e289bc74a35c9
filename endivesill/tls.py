"""TLS settings and contexts of the listeners and clients."""

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
    """TLS of the peer and operator ports, and optionally of the callers' port."""

    certificate: str = schema.field(
        "file of this VM's certificate, in PEM; without it the ports use plain HTTP",
        default="",
    )
    key: str = schema.field("file of the certificate's private key, in PEM", default="")
    ca: str = schema.field(
        "file with the CA certificates of the VMs' certificates, in PEM",
        default="",
    )
    callers: bool = schema.field(
        "the callers' port also uses TLS, with the same certificate", default=False
    )

    @property
    def enabled(self) -> bool:
        """Whether the peer and operator ports use TLS."""
        return bool(self.certificate)

    @property
    def scheme(self) -> str:
        """The URL scheme of the peer and operator ports: `http` or `https`."""
        return "https" if self.enabled else "http"


def server_options(settings: TlsSettings) -> dict[str, Any]:
    """Return the TLS options of a uvicorn listener; empty without a certificate.

    Raises:
      FindingsError: the certificate or its key is invalid.
    """
    if not settings.enabled:
        return {}
    _check_certificate(settings)
    return {
        "ssl_certfile": settings.certificate,
        "ssl_keyfile": settings.key or None,
    }


def client_context(settings: TlsSettings) -> ssl.SSLContext | None:
    """Return the TLS context of a client; None without a certificate and CA file.

    Raises:
      FindingsError: the CA file is invalid.
    """
    if not settings.enabled and not settings.ca:
        return None
    return context_trusting_ca(settings.ca)


def context_trusting_ca(ca: str) -> ssl.SSLContext:
    """Return a client context that trusts the CA certificates of a file.

    Args:
      ca: the name of the file; empty for the system's CA certificates.

    Raises:
      FindingsError: the file is invalid.
    """
    try:
        return ssl.create_default_context(cafile=ca or None)
    except (OSError, ssl.SSLError) as error:
        raise errors.FindingsError([Finding(ca, 0, str(error))]) from None


def _check_certificate(settings: TlsSettings) -> None:
    context = ssl.SSLContext(ssl.PROTOCOL_TLS_SERVER)
    try:
        context.load_cert_chain(settings.certificate, settings.key or None)
    except (OSError, ssl.SSLError) as error:
        raise errors.FindingsError(
            [Finding(settings.certificate, 0, str(error))]
        ) from None
