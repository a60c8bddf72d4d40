"""Tests that the project's modules have no import cycle."""

import ast
import pathlib

SOURCE = pathlib.Path(__file__).parents[2] / "src"


def project_imports() -> dict[str, set[str]]:
    """Returns the project modules that each project module imports."""
    trees = {
        ".".join(path.relative_to(SOURCE).with_suffix("").parts): ast.parse(
            path.read_text()
        )
        for path in SOURCE.rglob("*.py")
    }
    return {
        module: {
            name
            for node in ast.walk(tree)
            if isinstance(node, ast.ImportFrom)
            for alias in node.names
            if (name := f"{node.module}.{alias.name}") in trees
        }
        for module, tree in trees.items()
    }


def test_no_module_imports_itself_indirectly() -> None:
    imports = project_imports()
    assert len(imports) > 100
    remaining = dict(imports)
    while True:
        # Modules that import none of the remaining ones are in no cycle.
        acyclic = {
            module
            for module in remaining
            if not remaining[module] & remaining.keys()
        }
        if not acyclic:
            break
        remaining = {
            module: named
            for module, named in remaining.items()
            if module not in acyclic
        }
    assert sorted(remaining) == []
