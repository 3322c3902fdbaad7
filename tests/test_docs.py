"""Pages for operators and newcomers say what the program does: every log event, metric and module that they
name."""

from __future__ import annotations

import ast
import re
from collections.abc import Iterator
from pathlib import Path

import pytest

ROOT = Path(__file__).parent.parent
SLIPBAY = ROOT / "slipbay"
PLACES = (ROOT, SLIPBAY)
"""What paths in pages are relative to."""
ON_CALL = (ROOT / "docs" / "on-call.md").read_text()
LEAST_FRAGMENT = 4  # characters of an event's fixed text that are worth a look


def fixed_fragments(node: ast.expr) -> list[str]:
    """The parts of a text that are the same in every line."""
    match node:
        case ast.Constant(value=str(text)):
            return [text]
        case ast.JoinedStr(values=values):
            return [str(part.value) for part in values if isinstance(part, ast.Constant)]
        case ast.BinOp(left=left, right=right):
            return [*fixed_fragments(left), *fixed_fragments(right)]
        case ast.IfExp(body=body, orelse=orelse):
            return [*fixed_fragments(body), *fixed_fragments(orelse)]
    return []


def log_events() -> Iterator[tuple[str, str, list[str]]]:
    """File, kind and fixed fragments of each call of ``log``."""
    for file in sorted(SLIPBAY.rglob("*.py")):
        for node in ast.walk(ast.parse(file.read_text())):
            if not (isinstance(node, ast.Call) and isinstance(node.func, ast.Name) and node.func.id == "log"):
                continue
            match node.args:
                case [ast.Constant(value=str(kind)), text, *_]:
                    yield str(file.relative_to(ROOT)), kind, fixed_fragments(text)


def test_the_look_for_log_events_finds_them() -> None:
    assert len(list(log_events())) > 60


def test_every_kind_of_log_line_stands_in_the_on_call_page() -> None:
    kinds = {kind for _, kind, _ in log_events()}
    assert {kind for kind in kinds if f"`{kind}`" not in ON_CALL} == set()


def test_every_log_event_stands_in_the_on_call_page() -> None:
    missing = [
        (file, kind, fragment)
        for file, kind, fragments in log_events()
        for fragment in (text.strip(" :;,()") for text in fragments)
        if len(fragment) >= LEAST_FRAGMENT and fragment not in ON_CALL
    ]
    assert missing == []


def test_every_metric_stands_in_the_on_call_page() -> None:
    written = set(re.findall(r"slipbay_[a-z_]+", ON_CALL))
    prefixes = {
        match
        for file in SLIPBAY.rglob("metrics.py")
        for match in re.findall(r"slipbay_[a-z]+_", file.read_text())
    }
    named = {
        match
        for file in SLIPBAY.rglob("metrics.py")
        for match in re.findall(r'"(slipbay_[a-z_]+[a-z])"', file.read_text())
    }
    assert named <= written
    assert all(any(name.startswith(prefix) for prefix in prefixes) for name in written)


PAGES = [
    "README.md",
    "CONTRIBUTING.md",
    *sorted(f"docs/{page.name}" for page in (ROOT / "docs").glob("*.md")),
]
PLACEHOLDERS = ("PART", "SCRIPT")
"""Words that stand in a page for any name."""


def files_named(page: str) -> set[str]:
    """Source, configuration and text files in the code spans of a page, except for the operators' own."""
    spans = " ".join(re.findall(r"`([^`\n]+)`", page))
    named = re.findall(r"(?<![\w./*-])[\w./-]+\.(?:py|toml|md)(?![\w*])", spans)
    return {name for name in named if not name.startswith("..") and not any(x in name for x in PLACEHOLDERS)}


def repository_files() -> set[str]:
    folders = ("slipbay", "tests", "benchmarks", "deploy", "experiments", "docs", "journal/incidents")
    files = {path.relative_to(ROOT) for folder in folders for path in (ROOT / folder).rglob("*")}
    return {f"/{path.as_posix()}" for path in {*files, *(path.relative_to(ROOT) for path in ROOT.glob("*"))}}


@pytest.mark.parametrize("page", PAGES)
def test_files_that_a_page_names_are_there(page: str) -> None:
    present = repository_files()
    missing = {
        name
        for name in files_named((ROOT / page).read_text())
        if not any(path.endswith(f"/{name}") for path in present)
    }
    assert missing == set()


def test_a_page_that_names_a_missing_module_is_found() -> None:
    assert files_named("`mux.py` and `python tests/channel_play.py --seed 1`, `../given/day.json`") == {
        "mux.py",
        "tests/channel_play.py",
    }


@pytest.mark.parametrize("page", ["README.md", "CONTRIBUTING.md", "docs/architecture.md"])
def test_modules_that_a_page_names_are_there(page: str) -> None:
    named = set(re.findall(r"`([\w/]+(?:\.py|/))`", (ROOT / page).read_text()))
    assert named
    assert {name for name in named if not any((place / name).exists() for place in PLACES)} == set()
