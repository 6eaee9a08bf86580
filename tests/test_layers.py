"""Packages import only from themselves and from lower layers."""

import ast
from collections.abc import Iterator
from pathlib import Path

import pytest

ROOT = Path(__file__).resolve().parents[1] / "starlingdeck"
# The layers of docs/architecture.md, lowest first. Packages of one layer must not import each
# other, except those of the first layer.
LAYERS = [
    {"transport", "protocol", "metrics", "fairness", "interning", "quarantine"},
    {"storage", "context"},
    {"cluster"},
    {"machines"},
    {"jobs"},
    {"admission", "api", "autoscaling"},
    {"counts", "scheduling"},
    {"sync"},
    {"controller"},
    {"cli"},
]
RANK = {name: rank for rank, names in enumerate(LAYERS) for name in names}


def unit_of(path: Path) -> str:
    """Return the package or top-level module that a file belongs to."""
    return unit_named(path.relative_to(ROOT).parts[0].removesuffix(".py"))


def unit_named(name: str) -> str:
    """Return the name of a package or top-level module; those of the command line count as one."""
    return "cli" if name in {"cli_client", "cli_counts", "__main__"} else name


def imported_units(path: Path) -> Iterator[str]:
    """Yield the project's packages and top-level modules that a file imports anywhere in it."""
    for node in ast.walk(ast.parse(path.read_text())):
        if isinstance(node, ast.ImportFrom) and (node.module or "").startswith("starlingdeck."):
            yield unit_named((node.module or "").split(".")[1])
        elif isinstance(node, ast.ImportFrom) and node.module == "starlingdeck":
            yield from (alias.name for alias in node.names if alias.name in RANK)


FILES = sorted(path for path in ROOT.rglob("*.py") if path.name != "__init__.py")


@pytest.mark.parametrize("path", FILES, ids=lambda path: str(path.relative_to(ROOT)))
def test_a_module_imports_from_lower_layers_only(path: Path) -> None:
    unit = unit_of(path)
    others = {name for name in imported_units(path) if name != unit}
    not_lower = {name for name in others if RANK[name] >= RANK[unit]}
    assert not not_lower or (RANK[unit] == 0 and {RANK[name] for name in not_lower} == {0})


def test_transport_and_protocol_import_nothing_of_the_layers_above() -> None:
    lowest = [path for path in FILES if unit_of(path) in {"transport", "protocol", "fairness"}]
    allowed = {"transport", "protocol", "fairness"}
    imported = {name for path in lowest for name in imported_units(path)}
    assert lowest
    assert imported <= allowed
