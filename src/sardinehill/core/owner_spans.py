"""Computes and applies the differences between two sets of owned spans.

Owners change by a few spans at a time. A leader that sent all spans to each
daemon of a large fleet after each change would be limited by its network link.
"""

from collections.abc import Mapping
from collections.abc import Sequence

from sardinehill.core import fleet_messages

Spans = Mapping[str, Sequence[fleet_messages.OwnerSpan]]


def changes_between(
    before: Spans, after: Spans, base_serial: int
) -> fleet_messages.SpanChanges:
    """Returns the changes that turn one set of spans into another.

    Args:
      before: the spans of each service that the receiver has.
      after: the spans of each service that it is to have.
      base_serial: the serial of the table that contained `before`.
    """
    services = {
        service: _service_changes(
            before.get(service, ()), after.get(service, ())
        )
        for service in sorted({*before, *after})
        if before.get(service) != after.get(service)
    }
    return fleet_messages.SpanChanges(base_serial, services)


def _service_changes(
    before: Sequence[fleet_messages.OwnerSpan],
    after: Sequence[fleet_messages.OwnerSpan],
) -> fleet_messages.ServiceSpanChanges:
    kept = frozenset(before) & frozenset(after)
    return fleet_messages.ServiceSpanChanges(
        removed_first_keys=[span.first for span in before if span not in kept],
        added=[span for span in after if span not in kept],
    )


def apply_changes(
    spans: Spans, changes: fleet_messages.SpanChanges
) -> dict[str, list[fleet_messages.OwnerSpan]]:
    """Returns spans with changes applied to them.

    Args:
      spans: the spans of each service to which the changes refer; they are not
        changed.
      changes: the result of `changes_between`.
    """
    result = {service: list(owned) for service, owned in spans.items()}
    for service, service_changes in changes.services.items():
        removed = frozenset(service_changes.removed_first_keys)
        changed = [
            span
            for span in result.get(service, ())
            if span.first not in removed
        ]
        changed += service_changes.added
        changed.sort(key=lambda span: span.first)
        result[service] = changed
    return result
