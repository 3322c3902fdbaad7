"""Clients that log in with an X.509-SVID; the tests create the certificates with a library."""

from __future__ import annotations

import asyncio
import datetime
import ipaddress
import os
import socket
import ssl
import struct
from collections.abc import Callable
from pathlib import Path
from typing import Any

import pytest
from cryptography import x509
from cryptography.hazmat.primitives import hashes, serialization
from cryptography.hazmat.primitives.asymmetric import ec
from cryptography.x509.oid import NameOID
from loopback import HOST, run, until
from mysql_standins import MysqlClient, MysqlEngine, MysqlError, packet
from test_mysql_front import ROW, network

from slipbay.frontends.identity import RELOAD_INTERVAL_S
from slipbay.wire.spiffe import InvalidSpiffeIdError, check_id

DOMAIN = "kitaboshi.example"
OFFICE = f"spiffe://{DOMAIN}/office/ishikari"
NOW = datetime.datetime.now(datetime.UTC)


class Authority:
    """The certificate authority of a trust domain."""

    def __init__(self) -> None:
        self.key = ec.generate_private_key(ec.SECP256R1())
        self.name = x509.Name([x509.NameAttribute(NameOID.ORGANIZATION_NAME, "SPIFFE")])
        self.certificate = self.sign(self.key, [f"spiffe://{DOMAIN}"], is_ca=True)

    def sign(
        self,
        key: ec.EllipticCurvePrivateKey,
        uris: list[str],
        is_ca: bool = False,
        signs_certificates: bool = False,
        valid_s: float = 86_400.0,
    ) -> x509.Certificate:
        usage = {
            "digital_signature": True,
            "key_cert_sign": is_ca or signs_certificates,
            **dict.fromkeys(
                (
                    "content_commitment",
                    "key_encipherment",
                    "data_encipherment",
                    "key_agreement",
                    "crl_sign",
                    "encipher_only",
                    "decipher_only",
                ),
                False,
            ),
        }
        names: list[x509.GeneralName] = [x509.UniformResourceIdentifier(uri) for uri in uris]
        subject = (
            self.name if key is self.key else x509.Name([x509.NameAttribute(NameOID.COMMON_NAME, "workload")])
        )
        return (
            x509.CertificateBuilder()
            .subject_name(subject)
            .issuer_name(self.name)
            .public_key(key.public_key())
            .serial_number(x509.random_serial_number())
            .not_valid_before(NOW - datetime.timedelta(days=1))
            .not_valid_after(datetime.datetime.now(datetime.UTC) + datetime.timedelta(seconds=valid_s))
            .add_extension(x509.BasicConstraints(ca=is_ca, path_length=None), critical=True)
            .add_extension(x509.KeyUsage(**usage), critical=True)
            .add_extension(
                x509.SubjectAlternativeName(names or [x509.IPAddress(ipaddress.ip_address("127.0.0.1"))]),
                critical=False,
            )
            .sign(self.key, hashes.SHA256())
        )

    def write(self, folder: Path, name: str, uris: list[str], **options: Any) -> tuple[Path, Path]:
        """Writes a workload's certificate and key, each replaced atomically, as a SPIFFE agent does."""
        key = ec.generate_private_key(ec.SECP256R1())
        paths = folder / f"{name}.pem", folder / f"{name}.key"
        for path, data in zip(
            paths,
            (
                self.sign(key, uris, **options).public_bytes(serialization.Encoding.PEM),
                key.private_bytes(
                    serialization.Encoding.PEM,
                    serialization.PrivateFormat.PKCS8,
                    serialization.NoEncryption(),
                ),
            ),
            strict=True,
        ):
            path.with_suffix(".new").write_bytes(data)
            os.replace(path.with_suffix(".new"), path)
        return paths

    def write_bundle(self, folder: Path) -> None:
        (folder / "bundle.pem").write_bytes(self.certificate.public_bytes(serialization.Encoding.PEM))


def spiffe_table(folder: Path, authority: Authority) -> str:
    authority.write(folder, "router", [f"spiffe://{DOMAIN}/router"])
    authority.write_bundle(folder)
    return f"""
        [spiffe]
        trust_domain = "{DOMAIN}"
        certificate = "router.pem"
        key = "router.key"
        bundle = "bundle.pem"
        [spiffe.tenants]
        "{OFFICE}" = "tokachi-oil"
        """


def context(folder: Path, certificate: tuple[Path, Path] | None) -> ssl.SSLContext:
    tls_context = ssl.SSLContext(ssl.PROTOCOL_TLS_CLIENT)
    tls_context.check_hostname = False
    tls_context.load_verify_locations(folder / "bundle.pem")
    if certificate is not None:
        tls_context.load_cert_chain(*certificate)
    return tls_context


def test_a_client_with_an_svid_gets_its_tenant_without_a_password(tmp_path: Path) -> None:
    async def test() -> None:
        authority = Authority()
        async with network(tmp_path, MysqlEngine(), extra=spiffe_table(tmp_path, authority)) as net:
            svid = authority.write(tmp_path, "office", [OFFICE])
            client = await MysqlClient.connect(net.port(1), password=b"none", tls=context(tmp_path, svid))
            statement = await client.prepare("SELECT a FROM sales_1.orders WHERE b = ?")
            assert await client.execute(statement, "x" * 200) == [ROW]
            connection = next(iter(net.router.server.connections))
            assert connection._tenant == 1  # type: ignore[attr-defined]

    run(test)


@pytest.mark.parametrize(
    "uris, options",
    [
        ([f"spiffe://{DOMAIN}/office/unknown"], {}),
        (["spiffe://elsewhere.example/office/ishikari"], {}),
        ([OFFICE, f"spiffe://{DOMAIN}/other"], {}),
        ([], {}),
        ([f"spiffe://{DOMAIN}/a/../office/ishikari"], {}),
        ([OFFICE], {"is_ca": True}),
        ([OFFICE], {"signs_certificates": True}),
    ],
)
def test_other_certificates_are_rejected(tmp_path: Path, uris: list[str], options: dict[str, bool]) -> None:
    async def test() -> None:
        authority = Authority()
        async with network(tmp_path, MysqlEngine(), extra=spiffe_table(tmp_path, authority)) as net:
            svid = authority.write(tmp_path, "office", uris, **options)
            with pytest.raises(MysqlError) as raised:
                await MysqlClient.connect(net.port(1), tls=context(tmp_path, svid))
            assert (raised.value.code, raised.value.state) == (1045, "28000")

    run(test)


def test_clients_of_another_authority_and_clients_without_tls_are_rejected(tmp_path: Path) -> None:
    async def test() -> None:
        authority = Authority()
        other_authority = Authority()
        async with network(tmp_path, MysqlEngine(), extra=spiffe_table(tmp_path, authority)) as net:
            for certificate in (other_authority.write(tmp_path, "stranger", [OFFICE]), None):
                with pytest.raises((ssl.SSLError, OSError, EOFError)):
                    await MysqlClient.connect(net.port(1), tls=context(tmp_path, certificate))
            with pytest.raises(MysqlError) as raised:
                await MysqlClient.connect(net.port(1))
            assert raised.value.code == 3159

    run(test)


def test_rotated_files_are_loaded_for_the_next_client(tmp_path: Path) -> None:
    async def test() -> None:
        old = Authority()
        new = Authority()
        async with network(tmp_path, MysqlEngine(), extra=spiffe_table(tmp_path, old)) as net:
            first = old.write(tmp_path, "office", [OFFICE])
            await MysqlClient.connect(net.port(1), tls=context(tmp_path, first))
            (tmp_path / "router.pem").write_text("half a certificate")  # as in the middle of a rotation
            await MysqlClient.connect(net.port(1), tls=context(tmp_path, first))
            new.write(tmp_path, "router", [f"spiffe://{DOMAIN}/router"])
            new.write_bundle(tmp_path)
            second = new.write(tmp_path, "office", [OFFICE])
            client = await MysqlClient.connect(net.port(1), tls=context(tmp_path, second))
            assert await client.query("SELECT 1") == [ROW]
            await until(lambda: len(net.router.server.connections) == 3)

    run(test)


VALID_S = 3.0  # of a short SVID; certificates count in whole seconds


def visit(
    port: int, tls: ssl.SSLContext, session: ssl.SSLSession | None
) -> tuple[int, ssl.SSLSession | None]:
    """Logs in, and returns the first byte of the answer and the TLS session for a later visit."""
    with socket.create_connection((HOST, port), 10) as plain:
        plain.recv(4096)  # the greeting
        login = struct.pack("<IIB23x", 0x00288A01, 1 << 24, 45)
        plain.sendall(packet(1, login))
        with tls.wrap_socket(plain, session=session) as sock:
            sock.sendall(packet(2, login + b"office\0\0caching_sha2_password\0"))
            answer = sock.recv(4096)
            return answer[4] if answer else 0xFF, sock.session


@pytest.mark.parametrize("version", [ssl.TLSVersion.TLSv1_2, ssl.TLSVersion.TLSv1_3])
def test_an_expired_svid_is_rejected_when_a_session_is_resumed(
    version: ssl.TLSVersion, tmp_path: Path
) -> None:
    """Guards against clients whose SVID has expired: a resumed handshake does not verify it."""

    async def test() -> None:
        authority = Authority()
        async with network(tmp_path, MysqlEngine(), extra=spiffe_table(tmp_path, authority)) as net:
            tls = context(tmp_path, authority.write(tmp_path, "office", [OFFICE], valid_s=VALID_S))
            tls.maximum_version = version
            first, session = await asyncio.to_thread(visit, net.port(1), tls, None)
            assert first == 0
            await asyncio.sleep(VALID_S + 1)
            try:
                second, _ = await asyncio.to_thread(visit, net.port(1), tls, session)
            except OSError:  # TLS errors are of this kind
                second = 0xFF
            assert second == 0xFF

    run(test)


def expire(folder: Path, authority: Authority) -> float:
    return VALID_S + 1


def replace_bundle(folder: Path, authority: Authority) -> float:
    other = Authority()
    other.write(folder, "router", [f"spiffe://{DOMAIN}/router"])
    other.write_bundle(folder)
    return RELOAD_INTERVAL_S + 0.1


@pytest.mark.parametrize("invalidate", [expire, replace_bundle])
def test_an_open_connection_ends_when_its_svid_is_not_valid_any_more(
    invalidate: Callable[[Path, Authority], float], tmp_path: Path
) -> None:
    """Guards against clients that stay connected for ever: identity was judged at the login alone. What runs
    is answered; the next command is rejected."""

    async def test() -> None:
        authority = Authority()
        engine = MysqlEngine()
        async with network(tmp_path, engine, extra=spiffe_table(tmp_path, authority)) as net:
            svid = authority.write(tmp_path, "office", [OFFICE], valid_s=VALID_S)
            client = await MysqlClient.connect(net.port(1), tls=context(tmp_path, svid))
            hint = "/* slipbay: class=report deadline_ms=20000 */"
            statement = await client.prepare(f"{hint} SELECT a FROM sales_1.orders WHERE b = ?")
            engine.hold = asyncio.Event()
            client.send_execute(statement, "1")
            await until(lambda: bool(engine.running))
            await asyncio.sleep(invalidate(tmp_path, authority))
            engine.hold.set()
            assert await client.result() == [ROW]
            with pytest.raises(MysqlError):
                await client.execute(statement, "2")
            assert await client.reader.read() == b""
            assert sum(engine.executed.values()) == 1

    run(test)


@pytest.mark.parametrize(
    "id",
    [
        "http://kitaboshi.example/a",
        "spiffe://Kitaboshi/a",
        "spiffe://kitaboshi.example",
        "spiffe:///a",
        "spiffe://kitaboshi.example/",
        "spiffe://kitaboshi.example/a/",
        "spiffe://kitaboshi.example//a",
        "spiffe://kitaboshi.example/.",
        "spiffe://kitaboshi.example/a?b",
        "spiffe://kitaboshi.example/a#b",
        "spiffe://kitaboshi.example:80/a",
        "spiffe://u@kitaboshi.example/a",
        "spiffe://kitaboshi.example/%41",
        "spiffe://kitaboshi.example/" + "a" * 2048,
    ],
)
def test_invalid_ids(id: str) -> None:
    with pytest.raises(InvalidSpiffeIdError):
        check_id(id)


def test_valid_ids() -> None:
    assert check_id(OFFICE) == DOMAIN
    assert check_id("spiffe://a-b_c.9/..a/b.c") == "a-b_c.9"
