"""Choice of the work to cancel after a limit has dropped."""

from collections.abc import Iterable


def choose_surplus(cancellable: Iterable[bool], limit: int) -> tuple[int, ...]:
    """Choose the work in flight to cancel after the limit has dropped.

    The work that started last is cancelled first, because the least progress is lost.

    :param cancellable: for each request in flight, in order of start, whether it may be
        cancelled.
    :returns: positions of the requests to cancel, the latest first.
    """
    flags = tuple(cancellable)
    surplus = max(0, len(flags) - limit)
    positions = [position for position, flag in enumerate(flags) if flag]
    return tuple(reversed(positions))[:surplus]
