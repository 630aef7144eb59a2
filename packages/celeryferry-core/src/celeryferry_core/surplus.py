"""Choice of the work to cancel after a limit has dropped."""

from collections.abc import Iterable


def choose_surplus(cancellable: Iterable[bool], limit: int) -> tuple[int, ...]:
    """Choose the work in flight to cancel after the limit has dropped.

    The latest work is cancelled first because the least is lost with it.

    :param cancellable: for each piece of work in order of its start, whether it may
        be cancelled.
    :param limit: new limit.
    :returns: positions to cancel.
    """
    flags = tuple(cancellable)
    surplus = max(0, len(flags) - limit)
    positions = [position for position, flag in enumerate(flags) if flag]
    return tuple(reversed(positions))[:surplus]
