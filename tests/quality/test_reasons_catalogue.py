"""Tests that the table of refusal reasons matches the code."""

import pathlib
import re

from sardinehill import errors
from sardinehill.adapters import callers

ROOT = pathlib.Path(__file__).parents[2]
ROW = re.compile(r"^\| `([a-z-]+)` \| (\d+) \| .+ \|$", re.MULTILINE)


def test_table_lists_each_reason_with_its_status():
    text = (ROOT / "docs" / "INTERFACES.md").read_text()
    listed = {name: int(status) for name, status in ROW.findall(text)}
    assert listed == {
        reason.value: callers.http_status(reason) for reason in errors.Reason
    }
