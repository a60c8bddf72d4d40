"""Parses INI text into sections and collects all syntax errors.

`configparser` stops at the first duplicate section, duplicate option or
malformed line. To report all of them at once, each invalid line is recorded
and removed, and the rest is parsed again.
"""

import configparser
import dataclasses

from sardinehill import errors

# A duplicate section is parsed under a name with this prefix and then dropped;
# removing only its header would move its options into the previous section.
_DUPLICATE_SECTION_PREFIX = "\x01doubled"


@dataclasses.dataclass(frozen=True)
class ParsedIni:
    """The result of parsing an INI text.

    Attributes:
      sections: values by option, by section, in the order of the text.
      problems: every syntax error found.
    """

    sections: dict[str, dict[str, str]]
    problems: list[errors.SettingsProblem]


def _make_parser() -> configparser.RawConfigParser:
    # No section provides defaults: options that implicitly apply to all
    # sections would hide where a value comes from.
    parser = configparser.RawConfigParser(
        default_section="\x01default", comment_prefixes=("#", ";")
    )
    parser.optionxform = str  # type: ignore[assignment,method-assign]
    return parser


def parse(text: str, file_name: str) -> ParsedIni:
    """Returns the sections and the syntax errors of an INI text.

    Args:
      text: the INI text.
      file_name: the file name to report problems under.
    """
    original = text.splitlines()
    lines = list(original)
    problems: list[errors.SettingsProblem] = []
    while True:
        parser = _make_parser()
        try:
            parser.read_string("\n".join(lines), file_name)
        except configparser.DuplicateOptionError as error:
            problems.append(
                errors.SettingsProblem(
                    file_name,
                    error.section,
                    error.option,
                    _line_without_value(original, error.lineno),
                    "an option may occur once in a section; this one is"
                    f" repeated on line {error.lineno}",
                )
            )
            _blank_out_option(lines, error.lineno)
        except configparser.DuplicateSectionError as error:
            problems.append(_rename_duplicate_section(file_name, lines, error))
        except configparser.MissingSectionHeaderError as error:
            problems.append(
                _malformed_line_problem(file_name, original, error.lineno)
            )
            _blank_out_option(lines, error.lineno)
        except configparser.ParsingError as error:
            for line_number, _ in error.errors:
                problems.append(
                    _malformed_line_problem(file_name, original, line_number)
                )
                _blank_out_option(lines, line_number)
        else:
            return ParsedIni(_collect_sections(parser), problems)


def _collect_sections(
    parser: configparser.RawConfigParser,
) -> dict[str, dict[str, str]]:
    return {
        name: dict(parser.items(name))
        for name in parser.sections()
        if not name.startswith(_DUPLICATE_SECTION_PREFIX)
    }


def _rename_duplicate_section(
    file_name: str,
    lines: list[str],
    error: configparser.DuplicateSectionError,
) -> errors.SettingsProblem:
    line_number = error.lineno or 1
    lines[line_number - 1] = f"[{_DUPLICATE_SECTION_PREFIX} {line_number}]"
    return errors.SettingsProblem(
        file_name,
        error.section,
        "",
        f"[{error.section}]",
        f"a section may occur once; this one is repeated on line {line_number}",
    )


def _malformed_line_problem(
    file_name: str, lines: list[str], line_number: int
) -> errors.SettingsProblem:
    section = ""
    for line in lines[: line_number - 1]:
        if line.startswith("["):
            section = line.strip().strip("[]")
    return errors.SettingsProblem(
        file_name,
        section,
        "",
        _line_without_value(lines, line_number),
        f"line {line_number} must be `option = value`, under a [section]",
    )


def _line_without_value(lines: list[str], line_number: int | None) -> str:
    # The value after the equals sign may be a secret, and error messages are
    # written to logs.
    line = lines[(line_number or 1) - 1]
    return line.partition("=")[0].strip()


def _blank_out_option(lines: list[str], line_number: int | None) -> None:
    # Continuation lines are removed too; otherwise they would be parsed as part
    # of the previous option.
    index = (line_number or 1) - 1
    lines[index] = ""
    index += 1
    while index < len(lines) and lines[index][:1] in (" ", "\t"):
        lines[index] = ""
        index += 1
