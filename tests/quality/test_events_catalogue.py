"""Tests that the event catalogue matches the events of the code."""

import ast
import pathlib
import re

from sardinehill import events

ROOT = pathlib.Path(__file__).parents[2]
ROW = re.compile(r"\| (\d+) \| ([a-z-]+) \| (.+) \| (.+) \|")


def catalogue_rows():
    text = (ROOT / "docs" / "EVENTS.md").read_text()
    return [match.groups() for match in ROW.finditer(text)]


def test_catalogue_lists_each_event_once_with_meaning_and_next_step():
    listed = [(int(number), name) for number, name, _, _ in catalogue_rows()]
    in_code = [(event.number, event.name) for event in events.catalogue()]
    assert listed == sorted(in_code)
    assert len({number for number, _ in in_code}) == len(in_code)
    assert len({name for _, name in in_code}) == len(in_code)


def test_pages_named_in_the_catalogue_exist():
    text = (ROOT / "docs" / "EVENTS.md").read_text()
    for target in re.findall(r"\]\(([^)]+)\)", text):
        assert (ROOT / "docs" / target).exists(), target


def test_events_that_the_code_logs_are_defined():
    source = ROOT / "src" / "sardinehill"
    for path in source.rglob("*.py"):
        for node in ast.walk(ast.parse(path.read_text())):
            if (
                isinstance(node, ast.Attribute)
                and isinstance(node.value, ast.Name)
                and node.value.id == "events"
            ):
                assert hasattr(events, node.attr), f"{path}: {node.attr}"


def test_each_event_of_the_catalogue_is_logged_somewhere():
    source = ROOT / "src" / "sardinehill"
    text = "".join(path.read_text() for path in source.rglob("*.py"))
    for name, value in vars(events).items():
        if isinstance(value, events.Event):
            assert f"events.{name}" in text, name
