"""Variants of a deployment that deploy/sites/lay.py generates from a fictitious site file."""

from __future__ import annotations

import subprocess
import sys
import tomllib
from pathlib import Path
from typing import Any

import pytest

from deploy.sites import lay

ROOT = Path(__file__).parent.parent
SCRIPT = ROOT / "deploy" / "sites" / "lay.py"
SITE = """
name = "mill"
family = "queries"
wire = "../shared/wire.json"

[net]
zones = ["left", "right"]
cross_ms = [0.5, 1.5]

[allow]
probes = true
max_attempts = 4

[[tier]]
name = "mill-engines"

[tier.conn]
streams = 32
idle_s = 30

[[tier.kind]]
name = "wheel"
cores = 8

[[class]]
name = "grind"
worth = 1
effect = "safe"

[[class]]
name = "deliver"
worth = 2.5
effect = "unsafe"

[fam]
grants = true

[[fam.class]]
io = [0.1, 0.2]

[[fam.class]]
io = [0.1, 0.2]
load = true
"""
CHANGES = r"""
new_keys = ["allow.peer_ms", "class.window_ms"]

[net]
zones = ["ground \u007f \"floor\" ü"]

[allow]
probes = false
peer_ms = 1e-7

[tier.conn]
idle_s = 12

[[tier.kind]]
name = "sail"
cores = 4

[[class]]
name = "sieve"
worth = 3
window_ms = 700

[fam]
grants = false

[fam.class]
io = [0.4, 0.5]
"""


@pytest.fixture
def site(tmp_path: Path) -> Path:
    """A site file with some side files in its folder and its wire file in another folder."""
    (tmp_path / "kit").mkdir()
    (tmp_path / "shared").mkdir()
    (tmp_path / "shared" / "wire.json").write_text('{"wire": 1}')
    (tmp_path / "kit" / "real.json").write_text('{"real": 1}')
    (tmp_path / "kit" / "unlock.txt").write_text("unlock slow 00\n")
    file = tmp_path / "kit" / "mill.toml"
    file.write_text(SITE)
    return file


def changes(site: Path, text: str) -> Path:
    file = site.parent.parent / "windmill.changes.toml"
    file.write_text(text)
    return file


def test_a_variant_is_the_site_with_the_changes_applied(site: Path) -> None:
    variant_file = lay.write_variant(site, changes(site, CHANGES), site.parent.parent / "laid")
    expected: dict[str, Any] = tomllib.loads(SITE) | {"name": "windmill", "wire": "wire.json"}
    expected["net"]["zones"] = ['ground \x7f "floor" ü']
    expected["allow"] = {"probes": False, "max_attempts": 4, "peer_ms": 1e-7}
    expected["tier"][0]["conn"]["idle_s"] = 12  # a table changes each table of the array
    expected["tier"][0]["kind"] = [
        {"name": "sail", "cores": 4}
    ]  # an array of tables replaces the whole array
    expected["class"] = [{"name": "sieve", "worth": 3, "window_ms": 700}]
    expected["fam"] = {"grants": False, "class": [{"io": [0.4, 0.5]}, {"io": [0.4, 0.5], "load": True}]}
    assert tomllib.loads(variant_file.read_text()) == expected


def test_side_files_of_an_earlier_run_are_replaced_or_removed(site: Path) -> None:
    file = changes(site, "")
    folder = site.parent.parent / "laid" / "windmill"
    lay.write_variant(site, file, folder.parent)
    (site.parent / "unlock.txt").unlink()
    (site.parent / "design.json").write_text('{"design": 1}')
    lay.write_variant(site, file, folder.parent)
    assert {path.name: path.read_text() for path in folder.iterdir() if path.suffix != ".toml"} == {
        "wire.json": '{"wire": 1}',
        "real.json": '{"real": 1}',
        "design.json": '{"design": 1}',
    }


@pytest.mark.parametrize(
    ("text", "key", "reason"),
    [
        ("[net]\nzone = ['a']", "net.zone", "the site has no such key"),
        ("[tier.conn]\nidle = 3", "tier.conn.idle", "the site has no such key"),
        ("[[class]]\nname = 'a'\nwroth = 2", "class.wroth", "the site has no such key"),
        ("[[tier.kind]]\nname = 'a'\ncore = 2", "tier.kind.core", "the site has no such key"),
        ("net = 3", "net", "is a table in the site"),
        ("class = 'a'", "class", "is an array of tables in the site"),
        ("[allow.probes]\nall = true", "allow.probes", "is a plain value in the site"),
        ("[[allow.probes]]\nall = true", "allow.probes", "is a plain value in the site"),
        ("new_keys = 'fam'", "new_keys", "is not a list of dotted paths"),
        ("name = 'mill'", "name", "is set by the script"),
        ("[net", "", "not TOML"),
    ],
)
def test_an_error_names_file_key_and_reason_and_nothing_is_written(
    site: Path, text: str, key: str, reason: str
) -> None:
    file = changes(site, text)
    folder = site.parent.parent / "laid"
    with pytest.raises(lay.SiteError) as caught:
        lay.write_variant(site, file, folder)
    assert (caught.value.file, caught.value.key) == (file, key)
    assert caught.value.reason.startswith(reason)
    assert not folder.exists()


def test_the_script_reports_a_missing_file_in_one_line(site: Path) -> None:
    file = changes(site, "")
    absent = site.parent / "absent.toml"
    wire = site.parent.parent / "shared" / "wire.json"
    wire.unlink()
    for base, expected in (
        (absent, f"{absent}: No such file or directory\n"),
        (site, f"{site}: wire: names ../shared/wire.json, which is not there\n"),
    ):
        completed = subprocess.run(
            [sys.executable, "-I", "-S", SCRIPT, base, file], capture_output=True, text=True, timeout=60
        )
        assert (completed.returncode, completed.stdout, completed.stderr) == (1, "", expected)


def test_change_files_of_the_repository_are_valid_and_git_ignores_their_variants() -> None:
    files = sorted(SCRIPT.parent.glob(f"*{lay.CHANGES_SUFFIX}"))
    assert files
    for file in files:
        variant = lay.read_changes(file).variant
        outputs = [
            lay.VARIANTS_FOLDER / variant / name
            for name in (f"{variant}.toml", lay.WIRE_FILE, *lay.SIDE_FILES)
        ]
        completed = subprocess.run(
            ["git", "check-ignore", *outputs], cwd=ROOT, capture_output=True, text=True, timeout=60
        )
        assert completed.stdout.split() == [str(path) for path in outputs], completed.stderr
