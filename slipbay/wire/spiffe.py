"""Validates SPIFFE IDs and X.509-SVIDs by their specifications; TLS server without I/O."""

from __future__ import annotations

import re
import ssl
from dataclasses import dataclass

from slipbay.errors import SlipbayError

MAX_ID_BYTES = 2048
_DOMAIN_PATTERN = re.compile(r"[a-z0-9._-]{1,255}")
_SEGMENT_PATTERN = re.compile(r"[a-zA-Z0-9._-]+")


class InvalidSpiffeIdError(SlipbayError):
    """A SPIFFE ID or SVID violates its specification; the text names the violation."""


def check_id(id: str) -> str:
    """Validate a workload's SPIFFE ID and return its trust domain."""
    scheme, _, rest = id.partition("://")
    domain, slash, path = rest.partition("/")
    if scheme.lower() != "spiffe" or len(id.encode()) > MAX_ID_BYTES:
        raise InvalidSpiffeIdError("a SPIFFE ID begins with spiffe:// and has at most 2,048 bytes")
    if not _DOMAIN_PATTERN.fullmatch(domain):
        raise InvalidSpiffeIdError(
            "a trust domain has lower-case letters, digits, dots, dashes and underscores only"
        )
    if not slash or not all(
        _SEGMENT_PATTERN.fullmatch(segment) and segment not in (".", "..") for segment in path.split("/")
    ):
        raise InvalidSpiffeIdError(
            "a workload's ID has a path of segments with letters, digits, dots, dashes and underscores"
        )
    return domain


@dataclass(frozen=True, slots=True)
class Svid:
    """A workload's X.509-SVID; times are Unix times in s."""

    spiffe_id: str
    valid_from_s: float
    valid_until_s: float

    def is_valid_at(self, time_s: float) -> bool:
        """Whether the certificate is valid at this time."""
        return self.valid_from_s <= time_s <= self.valid_until_s


def read_svid(certificate: bytes, trust_domain: str) -> Svid:
    """Read a leaf certificate (DER) whose chain is already verified against the bundle.

    Raises:
        InvalidSpiffeIdError: if it is no SVID of a workload in the trust domain.
    """
    from cryptography import x509  # imported only if SPIFFE identities are used
    from cryptography.x509.oid import ExtensionOID

    try:
        leaf = x509.load_der_x509_certificate(certificate)
        alternative_names = leaf.extensions.get_extension_for_class(x509.SubjectAlternativeName).value
        uris = alternative_names.get_values_for_type(x509.UniformResourceIdentifier)
        usage = leaf.extensions.get_extension_for_oid(ExtensionOID.KEY_USAGE).value
    except (ValueError, x509.ExtensionNotFound, x509.DuplicateExtension) as problem:
        raise InvalidSpiffeIdError(f"the certificate is no SVID: {problem}") from None
    try:
        is_ca = leaf.extensions.get_extension_for_class(x509.BasicConstraints).value.ca
    except x509.ExtensionNotFound:
        is_ca = False
    if not isinstance(usage, x509.KeyUsage):
        raise InvalidSpiffeIdError("the certificate's key usage can't be read")
    if is_ca or usage.key_cert_sign or usage.crl_sign or not usage.digital_signature:
        raise InvalidSpiffeIdError("a leaf SVID must allow digital signatures and must not be a CA")
    if len(uris) != 1:
        raise InvalidSpiffeIdError(f"an SVID has one URI, not {len(uris)}")
    if check_id(uris[0]) != trust_domain:
        raise InvalidSpiffeIdError("the SVID has another trust domain")
    return Svid(str(uris[0]), leaf.not_valid_before_utc.timestamp(), leaf.not_valid_after_utc.timestamp())


class TlsServer:
    """The server side of a TLS connection, without I/O."""

    def __init__(self, context: ssl.SSLContext) -> None:
        self._context = context
        self._incoming = ssl.MemoryBIO()
        self._outgoing = ssl.MemoryBIO()
        self._tls = context.wrap_bio(self._incoming, self._outgoing, server_side=True)
        self.is_handshake_done = self.closed = False

    def feed(self, data: bytes) -> bytes:
        """Decrypt received bytes. Raises ``ssl.SSLError`` if the handshake or a record fails."""
        self._incoming.write(data)
        plaintext = bytearray()
        try:
            if not self.is_handshake_done:
                self._tls.do_handshake()
                self.is_handshake_done = True
            while chunk := self._tls.read(64 * 1024):
                plaintext += chunk
            self.closed = True
        except ssl.SSLWantReadError:
            pass
        except ssl.SSLZeroReturnError:
            self.closed = True
        return bytes(plaintext)

    def send(self, data: bytes) -> None:
        """Encrypt bytes for the client; ``outgoing`` returns the result."""
        self._tls.write(data)

    def outgoing(self) -> bytes:
        """Bytes to be sent to the client now."""
        return self._outgoing.read()

    @property
    def authorities(self) -> frozenset[bytes]:
        """The certificates (DER) against which the client's chain is verified."""
        return frozenset(self._context.get_ca_certs(binary_form=True))

    @property
    def client_certificate(self) -> bytes | None:
        """The client's leaf certificate (DER) after the handshake."""
        return self._tls.getpeercert(binary_form=True)
