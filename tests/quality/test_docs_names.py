"""Claims about the modules, classes and functions that the pages name."""

import ast
from collections.abc import Iterator
import functools
import pathlib
import re

ROOT = pathlib.Path(__file__).parents[2]
SOURCE = ROOT / "src" / "sardinehill"
PACKAGES = (
    "adapters",
    "cli",
    "core",
    "daemon",
    "front",
    "platform",
    "wire",
)
TOP_FOLDERS = ("bench", "deploy", "src", "standins", "tests")
TOP_PACKAGES = ("bench", "sardinehill", "standins", "tests")
FENCE = re.compile(r"^ *```.*?^ *```", re.MULTILINE | re.DOTALL)
QUOTED = re.compile(r"`([^`]+)`")
# A path below a known folder, or a dotted name below a known package.
NAME = re.compile(
    rf"(?:{'|'.join((*PACKAGES, *TOP_FOLDERS))})/[\w./-]*"
    rf"|(?:{'|'.join((*PACKAGES, *TOP_PACKAGES))})(?:\.\w+)+"
)
TEST_NAME = re.compile(r"test_\w+(?:\.py)?")
MODULE_ROW = re.compile(r"^\| ((?:`\w+`(?:, )?)+) \|", re.MULTILINE)


def pages() -> list[pathlib.Path]:
    return [ROOT / "README.md", *sorted((ROOT / "docs").rglob("*.md"))]


def quoted_words(text: str) -> Iterator[str]:
    """Yields the words that are back-quoted outside of code blocks."""
    for quoted in QUOTED.findall(FENCE.sub("", text)):
        yield from quoted.split()


@functools.cache
def parsed(path: pathlib.Path) -> ast.Module:
    return ast.parse(path.read_text())


def defined_names(body: list[ast.stmt]) -> dict[str, list[ast.stmt]]:
    """Returns the names that statements define, each with its own body."""
    names: dict[str, list[ast.stmt]] = {}
    for node in body:
        if isinstance(node, ast.ClassDef):
            names[node.name] = node.body
        elif isinstance(node, ast.FunctionDef | ast.AsyncFunctionDef):
            names[node.name] = []
        elif isinstance(node, ast.Assign | ast.AnnAssign):
            targets = (
                node.targets if isinstance(node, ast.Assign) else [node.target]
            )
            for target in targets:
                if isinstance(target, ast.Name):
                    names[target.id] = []
    return names


def defines(path: pathlib.Path, names: list[str]) -> bool:
    """Returns whether a module defines a name, or a class with a member."""
    body = parsed(path).body
    for name in names:
        found = defined_names(body)
        if name not in found:
            return False
        body = found[name]
    return True


def module_defines(path: pathlib.Path, names: list[str]) -> bool:
    """Returns whether names lead to a module below a path, or into it.

    Args:
      path: a folder, or a module's path without its suffix.
      names: names of folders and a module, then of what it defines.
    """
    module = path.with_name(f"{path.name}.py")
    if module.is_file():
        return defines(module, names)
    if not path.is_dir():
        return False
    if not names or names == ["__main__"]:
        return True
    if module_defines(path / names[0], names[1:]):
        return True
    initial = path / "__init__.py"
    return initial.is_file() and defines(initial, names)


def is_in_tree(name: str) -> bool:
    """Returns whether the tree has a path, a module or what it defines."""
    if "/" not in name:
        first, *rest = name.split(".")
        if first == "sardinehill":
            return module_defines(SOURCE, rest)
        parent = SOURCE if first in PACKAGES else ROOT
        return module_defines(parent / first, rest)
    parent = SOURCE if name.split("/")[0] in PACKAGES else ROOT
    if (parent / name).exists():
        return True
    folder, _, last = name.rpartition("/")
    stem, *names = last.split(".")
    return bool(stem) and module_defines(parent / folder / stem, names)


@functools.cache
def names_of_tests() -> frozenset[str]:
    """Returns the names of all test modules and of what they define."""
    names: set[str] = set()
    for path in (ROOT / "tests").rglob("test_*.py"):
        names |= {path.stem, path.name}
        names |= defined_names(parsed(path).body).keys()
    return frozenset(names)


def missing_names(text: str) -> list[str]:
    """Returns the names in a page's text that the tree does not have."""
    missing = []
    for word in quoted_words(text):
        if NAME.fullmatch(word):
            if not is_in_tree(word):
                missing.append(word)
        elif TEST_NAME.fullmatch(word) and word not in names_of_tests():
            missing.append(word)
    return missing


def test_names_in_the_pages_exist_in_the_tree() -> None:
    missing = {
        str(path.relative_to(ROOT)): names
        for path in pages()
        if (names := missing_names(path.read_text()))
    }
    assert missing == {}


def test_modules_of_the_platform_page_exist() -> None:
    text = (ROOT / "docs" / "design" / "platform.md").read_text()
    table = text.partition("| module of `front/` |")[2].partition("\n\n")[0]
    modules = [
        name
        for row in MODULE_ROW.findall(table)
        for name in QUOTED.findall(row)
    ]
    assert len(modules) > 20
    missing = [
        name
        for name in modules
        if not (SOURCE / "front" / f"{name}.py").exists()
    ]
    assert missing == []


def test_names_that_the_tree_does_not_have_are_found() -> None:
    wrong = (
        "core/no_such_module",
        "core/quorum.NoSuchClass",
        "core.quorum.QuorumVotes.no_such_member",
        "tests/cover/test_no_such_module.py",
        "bench.no_such_module",
        "test_no_such_claim",
    )
    right = (
        "core/quorum",
        "core/quorum.py",
        "core.quorum.QuorumVotes",
        "src/sardinehill/platform/",
        "sardinehill.front",
        "tests/quality/test_docs_names.py",
        "test_names_that_the_tree_does_not_have_are_found",
    )
    text = " ".join(f"`{name}`" for name in (*wrong, *right))
    assert missing_names(text) == list(wrong)
