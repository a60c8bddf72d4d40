"""Parses JSON in which one odd value must not make the rest unreadable.

Another writer may have made the odd value, of any form and as large as the
store allows. Decoding takes up to some forty times the bytes of a value, so
only the fields that are read are decoded of long data.
"""

from collections.abc import Mapping
import itertools
import json
import math
import re
from typing import Any

# Values that are nested deeper than this are replaced by null.
MAX_DEPTH = 64
# Longer integers are replaced by infinity.
MAX_INTEGER_DIGITS = 18
# Longer data is reduced to the fields that are read before it is decoded.
MAX_WHOLE_BYTES = 256 * 1024
# Of reduced data, longer strings are replaced by empty ones, and further
# members of an object are not read.
MAX_REDUCED_STRING_BYTES = 16 * 1024
MAX_REDUCED_MEMBERS = 5000
# The end of a value is looked for token by token first, which is faster for
# short ones.
MAX_TOKENS_AT_ONCE = 500
# Pairs of brackets are removed so often; those that are nested deeper remain.
MAX_PAIR_DEPTH = 300

Json = Any
# What is read of a value: the members of an object, with what is read of them,
# the items of a list, given as a list of one, or, if None, the value itself
# unless it is an object or a list.
Fields = Mapping[str, Any] | list[Any] | None

_STRING = rb'"[^"\\]*+(?:\\.[^"\\]*+)*+"'
# A string, several opening or closing brackets, or the beginning of a string
# without an end. Possessive quantifiers keep no state for each character.
_TOKEN = re.compile(_STRING + rb'|[\[{]++|[\]}]++|"', re.DOTALL)
# A value that is no list or object.
_SCALAR = re.compile(_STRING + rb'|[^\s,:\[\]{}"]++', re.DOTALL)
_SPACE = re.compile(rb"[ \t\r\n]*+")
_COMPLETE_STRING = re.compile(_STRING, re.DOTALL)
# Some 64 KB in which no string is cut.
_CHUNK = re.compile(rb'(?:[^"]{1,512}+|' + _STRING + rb"){1,128}+", re.DOTALL)
_AS_LIST_BRACKETS = bytes.maketrans(b"{}", b"[]")
_NO_BRACKETS = bytes(set(range(256)) - set(b"[]{}"))


def loads(data: bytes) -> Json:
    """Returns the value that JSON in UTF-8 represents.

    Values that are nested too deeply, integers that are too long, and bytes
    that are not UTF-8 are replaced.

    Raises:
      ValueError: the data is not JSON.
    """
    try:
        return json.loads(data)
    except (ValueError, RecursionError):
        start = _skip_space(data, 0)
        end = _end_of(data, start)
        _check_end(data, end)
        return _decode(_without_deep_values(data, start, end))


def loads_fields(data: bytes, fields: Fields) -> Json:
    """Returns the value that JSON in UTF-8 represents, or a part of it.

    Of long data, only the given fields are read. Of these, objects and lists
    that are not expected are emptied, as are long strings. A value that is not
    JSON, though its strings and brackets are closed, is taken for null. The
    memory that this takes does not depend on the form of what is not read.

    Args:
      data: the JSON.
      fields: what is read of it.

    Raises:
      ValueError: the data is not JSON.
    """
    if len(data) <= MAX_WHOLE_BYTES:
        return loads(data)
    value, end = _read_fields(data, _skip_space(data, 0), fields)
    _check_end(data, end)
    return value


def _read_fields(data: bytes, start: int, fields: Fields) -> tuple[Json, int]:
    """Returns what is read of the value at a position, and the value's end."""
    opening = data[start : start + 1]
    if opening == b"{" and isinstance(fields, Mapping):
        return _read_members(data, start, fields)
    if opening == b"[" and isinstance(fields, list):
        return _read_items(data, start, fields[0])
    end = _end_of(data, start)
    if opening == b"{":
        return {}, end
    if opening == b"[":
        return [], end
    if opening == b'"' and end - start > MAX_REDUCED_STRING_BYTES:
        return "", end
    return _decode_if_valid(data[start:end]), end


def _read_members(
    data: bytes, start: int, fields: Mapping[str, Any]
) -> tuple[dict[str, Json], int]:
    found: dict[str, Json] = {}
    position = _skip_space(data, start + 1)
    if data[position : position + 1] == b"}":
        return found, position + 1
    for _ in range(MAX_REDUCED_MEMBERS):
        if data[position : position + 1] != b'"':
            raise ValueError(f"a member without a name at {position}")
        name, position = _read_fields(data, position, None)
        position = _expect(data, position, b":")
        if name in fields:
            found[name], position = _read_fields(data, position, fields[name])
        else:
            position = _end_of(data, position)
        position = _skip_space(data, position)
        if data[position : position + 1] == b"}":
            return found, position + 1
        position = _expect(data, position, b",")
    return found, _end_of(data, start)


def _read_items(
    data: bytes, start: int, fields: Fields
) -> tuple[list[Json], int]:
    items: list[Json] = []
    position = _skip_space(data, start + 1)
    if data[position : position + 1] == b"]":
        return items, position + 1
    while True:
        item, position = _read_item(data, position, fields)
        items.append(item)
        position = _skip_space(data, position)
        if data[position : position + 1] == b"]":
            return items, position + 1
        position = _expect(data, position, b",")


def _read_item(data: bytes, start: int, fields: Fields) -> tuple[Json, int]:
    """Returns what is read of an item, which is null if it is not JSON."""
    try:
        return _read_fields(data, start, fields)
    except ValueError:
        return None, _end_of(data, start)


def _end_of(data: bytes, start: int) -> int:
    """Returns the end of a value; only strings and brackets are looked at.

    Raises:
      ValueError: no value begins there, or it has no end.
    """
    if data[start : start + 1] not in (b"[", b"{"):
        scalar = _SCALAR.match(data, start)
        if scalar is None:
            raise ValueError(f"no value at {start}")
        return scalar.end()
    depth = 0
    position = start
    while True:
        tokens = _TOKEN.finditer(data, position)
        for token in itertools.islice(tokens, MAX_TOKENS_AT_ONCE):
            first = data[token.start()]
            count = token.end() - token.start()
            if first in b"[{":
                depth += count
            elif first in b"]}":
                if depth <= count:
                    return token.start() + depth
                depth -= count
            elif count == 1:
                raise ValueError(f"a string at {token.start()} is not closed")
            position = token.end()
        if next(tokens, None) is None:
            raise ValueError(f"a bracket behind {start} is not closed")
        position, depth = _skip_chunks(data, position, depth)


def _skip_chunks(data: bytes, position: int, depth: int) -> tuple[int, int]:
    """Skips chunks in which a value does not end.

    Args:
      data: the JSON.
      position: where to begin; not within a string.
      depth: how many brackets are open there.

    Returns:
      The position behind the chunks, and how many brackets are open there.
    """
    while (chunk := _CHUNK.match(data, position)) is not None:
        brackets = _unpaired_brackets(chunk[0])
        closing_count = brackets.count(b"]")
        if closing_count >= depth:
            break
        depth += len(brackets) - 2 * closing_count
        position = chunk.end()
    return position, depth


def _unpaired_brackets(data: bytes) -> bytes:
    """Returns a chunk's brackets, as those of lists, without most pairs."""
    brackets = _COMPLETE_STRING.sub(b"", data).translate(
        _AS_LIST_BRACKETS, _NO_BRACKETS
    )
    for _ in range(MAX_PAIR_DEPTH):
        if b"[]" not in brackets:
            break
        brackets = brackets.replace(b"[]", b"")
    return brackets


def _without_deep_values(data: bytes, start: int, end: int) -> bytes:
    """Returns a value's bytes, with null in place of its deep values."""
    kept = []
    depth = 0
    for token in _TOKEN.finditer(data, start, end):
        first = data[token.start()]
        count = token.end() - token.start()
        if first in b"[{":
            if depth <= MAX_DEPTH < depth + count:
                kept.append(data[start : token.start() + MAX_DEPTH - depth])
                kept.append(b"null")
            depth += count
        elif first in b"]}":
            if depth - count <= MAX_DEPTH < depth:
                start = token.start() + depth - MAX_DEPTH
            depth -= count
    kept.append(data[start:end])
    return b"".join(kept)


def _decode(data: bytes) -> Json:
    return json.loads(data.decode(errors="replace"), parse_int=_parse_int)


def _decode_if_valid(data: bytes) -> Json:
    try:
        return _decode(data)
    except ValueError:
        return None


def _parse_int(digits: str) -> float:
    if len(digits) > MAX_INTEGER_DIGITS:
        return -math.inf if digits.startswith("-") else math.inf
    return int(digits)


def _check_end(data: bytes, position: int) -> None:
    end = _skip_space(data, position)
    if end != len(data):
        raise ValueError(f"there is more than one value, at {end}")


def _skip_space(data: bytes, position: int) -> int:
    space = _SPACE.match(data, position)
    assert space is not None
    return space.end()


def _expect(data: bytes, position: int, separator: bytes) -> int:
    """Returns where the value behind a separator begins."""
    position = _skip_space(data, position)
    if data[position : position + 1] != separator:
        raise ValueError(f"no {separator!r} at {position}")
    return _skip_space(data, position + 1)
