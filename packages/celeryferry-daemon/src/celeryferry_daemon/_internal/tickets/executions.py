"""Executions of the tickets of this process."""

import asyncio

import msgspec

from celeryferry_core.decisions.tickets import TicketJoined
from celeryferry_core.environment import Clock
from celeryferry_core.mechanisms import Mechanisms
from celeryferry_core.models.outcomes import (
    NotRun,
    NotRunReason,
    OutcomeUnknown,
    RunOutcome,
    UnknownReason,
)
from celeryferry_core.ports import DecisionLog, FreshnessGate
from celeryferry_core.tickets import Finished, Join, Start, Ticket, TicketTable
from celeryferry_daemon._internal.gate import may_start_work
from celeryferry_daemon._internal.tickets.runner import (
    ANSWER_MARGIN,
    TicketRunner,
    time_until,
)

_TIMED_OUT = OutcomeUnknown(UnknownReason.TIMEOUT)


class TicketExecutions:
    """Runs at most one execution of a ticket at a time and shares its outcome.

    A ticket is executed again only after the outcome "not run".

    :param table: tickets of this process; decides whether an execution may start.
    :param runner: sends requests to owners.
    :param gate: tells whether the configuration is fresh enough to act on.
    :param log: receiver of decisions.
    :param mechanisms: protections that are active; tests turn off some of them.
    """

    def __init__(
        self,
        table: TicketTable,
        runner: TicketRunner,
        gate: FreshnessGate,
        clock: Clock,
        log: DecisionLog,
        mechanisms: Mechanisms,
    ) -> None:
        self._table = table
        self._runner = runner
        self._gate = gate
        self._clock = clock
        self._log = log
        self._mechanisms = mechanisms
        self._running: dict[str, asyncio.Task[RunOutcome]] = {}

    async def stop(self) -> None:
        """Wait for the running executions, which end at their deadlines."""
        if self._running:
            await asyncio.wait(list(self._running.values()))

    async def run(
        self, ticket_text: str, request: msgspec.Raw, deadline_unix_ms: int
    ) -> RunOutcome:
        """Run a ticket of this process, or wait for the execution that is running.

        The execution is a task of its own, so it continues if the caller disconnects
        or its call times out.

        :param ticket_text: the ticket.
        :param request: JSON value for the upstream; ignored if the ticket is already
            running or finished.
        :param deadline_unix_ms: absolute deadline in milliseconds of wall-clock time.
        :returns: outcome of the execution, or unknown if it does not end in time.
        """
        step = self._table.begin(ticket_text, self._clock.monotonic())
        match step:
            case Finished(outcome):
                return outcome
            case Start(ticket):
                task = asyncio.create_task(
                    self._execute(ticket, request, deadline_unix_ms)
                )
                self._running[ticket_text] = task
            case Join():
                task = self._running[ticket_text]
                self._log.record(TicketJoined(ticket_text))
        return await self._await_outcome(task, deadline_unix_ms)

    async def _execute(
        self, ticket: Ticket, request: msgspec.Raw, deadline_unix_ms: int
    ) -> RunOutcome:
        outcome: RunOutcome = OutcomeUnknown(UnknownReason.CANCELLED)
        try:
            if not may_start_work(self._gate, self._mechanisms):
                outcome = NotRun(NotRunReason.STALE_CONFIGURATION)
            else:
                outcome = await self._runner.run(ticket, request, deadline_unix_ms)
        finally:
            self._table.finish(ticket, outcome)
            self._running.pop(ticket.text, None)
        return outcome

    async def _await_outcome(
        self, task: "asyncio.Task[RunOutcome]", deadline_unix_ms: int
    ) -> RunOutcome:
        # TicketRunner waits one margin past the deadline for the owner; wait one margin
        # more here.
        timeout = time_until(deadline_unix_ms, self._clock) + 2 * ANSWER_MARGIN
        try:
            async with asyncio.timeout(max(0.0, timeout.total_seconds())):
                return await asyncio.shield(task)
        except TimeoutError:
            return _TIMED_OUT
