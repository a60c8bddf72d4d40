"""Estimates how long the messages of one link were on their way."""


class TransitDelay:
    """Compares the clocks of a link's two sides.

    The clocks have different origins and run at the same rate. The message with
    the least difference between them is taken for one without delay.
    """

    def __init__(self) -> None:
        self._least_difference_s = float("inf")

    def record(self, written_s: float, received_s: float) -> float:
        """Returns the delay of a message, in seconds.

        Args:
          written_s: when it was written, by the sender's clock.
          received_s: when it was received, by the receiver's clock.
        """
        difference_s = received_s - written_s
        self._least_difference_s = min(self._least_difference_s, difference_s)
        return difference_s - self._least_difference_s
