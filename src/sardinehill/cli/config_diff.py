"""Compares two fleet texts option by option."""

import dataclasses

from sardinehill import ini


@dataclasses.dataclass(frozen=True)
class OptionChange:
    """A difference in one option or one whole section.

    Attributes:
      section: the INI section.
      option: the option, empty if the whole section was added or removed.
      before: the old value, empty if there was none.
      after: the new value, empty if there is none.
    """

    section: str
    option: str
    before: str
    after: str

    def __str__(self) -> str:
        location = f"[{self.section}] {self.option}".strip()
        if not self.before:
            return (
                f"+ {location} = {self.after}"
                if self.option
                else f"+ {location}"
            )
        if not self.after:
            return (
                f"- {location} = {self.before}"
                if self.option
                else f"- {location}"
            )
        return f"~ {location}: {self.before} -> {self.after}"


def find_changes(before_text: str, after_text: str) -> list[OptionChange]:
    """Returns the differences, ignoring comments and blank lines."""
    before = ini.parse(before_text, "before").sections
    after = ini.parse(after_text, "after").sections
    found = []
    for section in [*before, *(name for name in after if name not in before)]:
        old, new = before.get(section), after.get(section)
        if old is None:
            found.append(OptionChange(section, "", "", section))
        if new is None:
            found.append(OptionChange(section, "", section, ""))
            continue
        options = [*(old or {}), *(n for n in new if n not in (old or {}))]
        for option in options:
            old_value, new_value = (
                (old or {}).get(option, ""),
                new.get(option, ""),
            )
            if old_value != new_value:
                found.append(
                    OptionChange(section, option, old_value, new_value)
                )
    return found


def format_changes(found: list[OptionChange]) -> str:
    """Returns the changes as text, one per line."""
    return "\n".join(str(change) for change in found) or "no change"
