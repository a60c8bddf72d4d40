"""Maps each kind of loan to the messages that ask for it and grant it."""

import dataclasses

from sardinehill.core import fleet_messages
from sardinehill.wire import message_kinds


@dataclasses.dataclass(frozen=True, slots=True)
class LoanMessages:
    """The messages of one kind of loan.

    Attributes:
      requests: asks the leader for loans.
      loans: the leader's answer.
    """

    requests: message_kinds.MessageKind
    loans: message_kinds.MessageKind


MESSAGES = {
    fleet_messages.LoanKind.QUOTA: LoanMessages(
        message_kinds.MessageKind.TOKEN_REQUESTS,
        message_kinds.MessageKind.TOKEN_LOANS,
    ),
    fleet_messages.LoanKind.COLD_SENDS: LoanMessages(
        message_kinds.MessageKind.COLD_SEND_REQUESTS,
        message_kinds.MessageKind.COLD_SEND_LOANS,
    ),
    fleet_messages.LoanKind.LIMITED_SENDS: LoanMessages(
        message_kinds.MessageKind.LIMITED_SEND_REQUESTS,
        message_kinds.MessageKind.LIMITED_SEND_LOANS,
    ),
}
# The kind of loan by the number of the message that asks for it.
LOAN_KINDS: dict[int, fleet_messages.LoanKind] = {
    messages.requests: kind for kind, messages in MESSAGES.items()
}
