"""Slots of a stand-in upstream and the queue for them."""

import asyncio
from collections import deque

from celeryferry_standins.upstream.behaviour import Behaviour


class Slots:
    """Slots that are assigned in the order of the requests.

    :param behaviour: behaviour with the number of slots and the queue bound.
    """

    def __init__(self, behaviour: Behaviour):
        self._behaviour = behaviour
        self._used_count = 0
        self._waiters: deque[asyncio.Future] = deque()

    @property
    def waiting_count(self) -> int:
        """Requests that wait for a slot."""
        return len(self._waiters)

    def update(self, behaviour: Behaviour) -> None:
        """Apply a changed number of slots.

        :param behaviour: new behaviour.
        """
        self._behaviour = behaviour
        self._admit_waiting()

    async def acquire(self) -> bool:
        """Wait for a slot and occupy it until ``release``.

        :returns: False if the queue is full.
        """
        if self._used_count < self._behaviour.slots and not self._waiters:
            self._used_count += 1
            return True
        if len(self._waiters) >= self._behaviour.queue_bound:
            return False
        waiter = asyncio.get_running_loop().create_future()
        self._waiters.append(waiter)
        try:
            await waiter
        except asyncio.CancelledError:
            if waiter in self._waiters:
                self._waiters.remove(waiter)
            else:
                self.release()
            raise
        return True

    def release(self) -> None:
        """Free a slot and assign it to the next waiting request."""
        self._used_count -= 1
        self._admit_waiting()

    def _admit_waiting(self) -> None:
        while self._waiters and self._used_count < self._behaviour.slots:
            self._used_count += 1
            self._waiters.popleft().set_result(None)
