"""Slots of a stand-in upstream and the queue for them."""

import asyncio
from collections import deque

from celeryferry_standins.upstream.behaviour import Behaviour


class Slots:
    """Slots that are given out in the order of the requests.

    :param behaviour: behaviour with the number of slots and the queue bound.
    """

    def __init__(self, behaviour: Behaviour):
        self._behaviour = behaviour
        self._taken = 0
        self._waiting: deque[asyncio.Future] = deque()

    @property
    def waiting_count(self) -> int:
        """Requests that wait for a slot."""
        return len(self._waiting)

    def update(self, behaviour: Behaviour) -> None:
        """Apply a changed number of slots.

        :param behaviour: new behaviour.
        """
        self._behaviour = behaviour
        self._admit_waiting()

    async def take(self) -> bool:
        """Wait for a slot and take it; ``release`` gives it back.

        :returns: False if the queue is full.
        """
        if self._taken < self._behaviour.slots and not self._waiting:
            self._taken += 1
            return True
        if len(self._waiting) >= self._behaviour.queue_bound:
            return False
        turn = asyncio.get_running_loop().create_future()
        self._waiting.append(turn)
        try:
            await turn
        except asyncio.CancelledError:
            if turn in self._waiting:
                self._waiting.remove(turn)
            else:
                self.release()
            raise
        return True

    def release(self) -> None:
        """Give a slot back and pass it to the next waiting request."""
        self._taken -= 1
        self._admit_waiting()

    def _admit_waiting(self) -> None:
        while self._waiting and self._taken < self._behaviour.slots:
            self._taken += 1
            self._waiting.popleft().set_result(None)
