"""Clients that log in with an X.509-SVID; the tests create the certificates with a library."""

from __future__ import annotations

import datetime
import ipaddress
import os
import ssl
from pathlib import Path

import pytest
from cryptography import x509
from cryptography.hazmat.primitives import hashes, serialization
from cryptography.hazmat.primitives.asymmetric import ec
from cryptography.x509.oid import NameOID
from loopback import run, until
from mysql_standins import MysqlClient, MysqlEngine, MysqlError
from test_mysql_front import ROW, network

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
            .not_valid_after(NOW + datetime.timedelta(days=1))
            .add_extension(x509.BasicConstraints(ca=is_ca, path_length=None), critical=True)
            .add_extension(x509.KeyUsage(**usage), critical=True)
            .add_extension(
                x509.SubjectAlternativeName(names or [x509.IPAddress(ipaddress.ip_address("127.0.0.1"))]),
                critical=False,
            )
            .sign(self.key, hashes.SHA256())
        )

    def write(self, folder: Path, name: str, uris: list[str], **options: bool) -> tuple[Path, Path]:
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
