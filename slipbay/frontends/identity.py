"""Maps a client's X.509-SVID to its tenant; reloads the router's own certificate files after a rotation."""

from __future__ import annotations

import ssl
from pathlib import Path

from slipbay.config.model import SpiffeConfig
from slipbay.config.validation import ConfigError
from slipbay.log import log
from slipbay.wire.spiffe import InvalidSpiffeIdError, svid_id


class Identity:
    """The TLS context with the router's own X.509-SVID, and the tenants of its clients' SVIDs.

    Raises:
        ConfigError: if the files can't be used, or an optional package is not installed.
    """

    def __init__(self, config: SpiffeConfig) -> None:
        self._config = config
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
        context.load_cert_chain(self._config.certificate, self._config.key)
        context.load_verify_locations(self._config.bundle)
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

    def tenant(self, certificate: bytes | None) -> int | None:
        """Returns the client's tenant number; None if the certificate is missing, invalid or unknown."""
        if certificate is None:
            return None
        try:
            client_id = svid_id(certificate, self._config.trust_domain)
        except InvalidSpiffeIdError as problem:
            log("identity", "client certificate is not a valid SVID", reason=problem)
            return None
        if client_id not in self._config.tenants:
            log("identity", "no tenant is configured for the client's SPIFFE ID", spiffe_id=client_id)
        return self._config.tenants.get(client_id)
