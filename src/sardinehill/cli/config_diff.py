"""What one fleet text changes about another, option by option."""

import dataclasses

from sardinehill import ini


@dataclasses.dataclass(frozen=True)
class OptionChange:
    """One option that differs.

    Attributes:
      section: the INI section.
      option: the option, empty when the whole section comes or goes.
      before: the value before, empty for none.
      after: the value after, empty for none.
    """

    section: str
    option: str
    before: str
    after: str

    def __str__(self) -> str:
        place = f"[{self.section}] {self.option}".strip()
        if not self.before:
            return f"+ {place} = {self.after}" if self.option else f"+ {place}"
        if not self.after:
            return f"- {place} = {self.before}" if self.option else f"- {place}"
        return f"~ {place}: {self.before} -> {self.after}"


def find_changes(before_text: str, after_text: str) -> list[OptionChange]:
    """Returns what differs; comments and blank lines do not count."""
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
            one, other = (old or {}).get(option, ""), new.get(option, "")
            if one != other:
                found.append(OptionChange(section, option, one, other))
    return found


def format_changes(found: list[OptionChange]) -> str:
    """Returns the changes, one a line."""
    return "\n".join(str(change) for change in found) or "no change"
