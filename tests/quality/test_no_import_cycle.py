"""Claims about which modules import which."""

import ast
import pathlib

SOURCE = pathlib.Path(__file__).parents[2] / "src"


def project_imports() -> dict[str, set[str]]:
    """Returns what each module of the project imports of it."""
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
    found = project_imports()
    assert len(found) > 100
    left = dict(found)
    while True:
        # Modules that import nothing of what is left are in no circle.
        done = {module for module in left if not left[module] & left.keys()}
        if not done:
            break
        left = {m: named for m, named in left.items() if m not in done}
    assert sorted(left) == []
