"""Maps a client's X.509-SVID to its tenant; reloads the router's own certificate files after a rotation."""

from __future__ import annotations

import ssl
import time
from dataclasses import dataclass
from pathlib import Path

from slipbay.config.model import SpiffeConfig
from slipbay.config.validation import ConfigError
from slipbay.log import log
from slipbay.wire.spiffe import InvalidSpiffeIdError, Svid, TlsServer, read_svid

RELOAD_INTERVAL_S = 1.0  # between looks at the files for clients that are connected


@dataclass(frozen=True, slots=True)
class ClientIdentity:
    """A client that has logged in with an SVID."""

    tenant: int
    svid: Svid
    authorities: frozenset[bytes]
    """The certificates (DER) of the bundle against which the SVID was verified."""


class Identity:
    """The TLS context with the router's own X.509-SVID, and the tenants of its clients' SVIDs.

    Raises:
        ConfigError: if the files can't be used, or an optional package is not installed.
    """

    def __init__(self, config: SpiffeConfig) -> None:
        self._config = config
        self._checked_at_s = 0.0  # when the files were last looked at, monotonic
        self._loaded_versions = self._read_file_versions()
        try:
            import cryptography  # noqa: F401

            self._context = self._load()
        except ImportError:
            raise ConfigError("spiffe: want the extra packages of slipbay[spiffe]") from None
        except (OSError, ssl.SSLError) as problem:
            raise ConfigError(f"spiffe: certificate, key or bundle cannot be used: {problem}") from None

    def _load(self) -> ssl.SSLContext:
        context = ssl.SSLContext(ssl.PROTOCOL_TLS_SERVER)
        context.minimum_version = ssl.TLSVersion.TLSv1_2
        context.verify_mode = ssl.CERT_REQUIRED
        # A resumed session would not verify the client's chain again
        context.num_tickets = 0
        context.options |= ssl.OP_NO_TICKET
        context.load_cert_chain(self._config.certificate, self._config.key)
        context.load_verify_locations(self._config.bundle)
        self._authorities = frozenset(context.get_ca_certs(binary_form=True))
        return context

    def _read_file_versions(self) -> list[tuple[int, int, int]]:
        def read_version(path: Path) -> tuple[int, int, int]:
            try:
                status = path.stat()
            except OSError:
                return 0, 0, 0
            return status.st_mtime_ns, status.st_size, status.st_ino

        return [
            read_version(path) for path in (self._config.certificate, self._config.key, self._config.bundle)
        ]

    def context(self) -> ssl.SSLContext:
        """Returns the TLS context for the next client, after loading files that have changed.

        If the load fails, as while only some of the files are replaced, the earlier context is returned and
        the next call tries again.
        """
        versions = self._read_file_versions()
        if versions != self._loaded_versions:
            try:
                self._context = self._load()
                self._loaded_versions = versions
                log("identity", "rotated certificate files loaded")
            except (OSError, ssl.SSLError) as problem:
                log("identity", "rotated certificate files cannot be loaded yet", reason=problem)
        return self._context

    def authenticate(self, tls: TlsServer) -> ClientIdentity | None:
        """Returns who a client is; None if its certificate is missing, invalid, expired or unknown.

        The validity is checked here too, as a TLS 1.2 client may resume a session, which verifies nothing.
        """
        certificate = tls.client_certificate
        if certificate is None:
            return None
        try:
            svid = read_svid(certificate, self._config.trust_domain)
        except InvalidSpiffeIdError as problem:
            log("identity", "client certificate is not a valid SVID", reason=problem)
            return None
        if not svid.is_valid_at(time.time()):
            log("identity", "client certificate is not valid now", spiffe_id=svid.spiffe_id)
            return None
        tenant = self._config.tenants.get(svid.spiffe_id)
        if tenant is None:
            log("identity", "no tenant is configured for the client's SPIFFE ID", spiffe_id=svid.spiffe_id)
            return None
        return ClientIdentity(tenant, svid, tls.authorities)

    def is_still_valid(self, client: ClientIdentity) -> bool:
        """Returns whether a connected client may send a further command: its SVID has not expired, and
        no authority was taken out of the bundle since it was verified."""
        now_s = time.monotonic()
        if now_s - self._checked_at_s >= RELOAD_INTERVAL_S:
            self._checked_at_s = now_s
            self.context()
        return client.svid.is_valid_at(time.time()) and client.authorities <= self._authorities
