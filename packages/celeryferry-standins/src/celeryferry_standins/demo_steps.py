"""The steps of the demo: they search, check every answer and print what they see."""

import time
from datetime import timedelta

from celeryferry_core.models.callers import SearchAnswer
from celeryferry_standins.launcher import Fleet
from celeryferry_standins.load.answer_checks import find_faults
from celeryferry_standins.load.caller import Caller, Reply
from celeryferry_standins.load.generator import LoadGenerator, LoadPlan
from celeryferry_standins.load.report import make_report
from celeryferry_standins.processes import wait_until

APPLICATION = "survey-desk"
DEADLINE_MS = 1000
QUERIES_PER_STEP = 4
LOAD_RATE_PER_S = 20.0
# The load is stopped after the last step; this only bounds it.
MAX_LOAD_S = 40.0
EFFECT_WITHIN = timedelta(seconds=6)
STOP_WITHIN = timedelta(seconds=15)
HITS_PER_SHARD = 3


class Demo:
    """The steps of the demo.

    :param fleet: running fleet.
    :ivar faults: contradictions between answers and the upstreams.
    """

    def __init__(self, fleet: Fleet):
        self.faults: list[str] = []
        self._fleet = fleet
        self._seeds = fleet.entry_addresses
        self._shards = fleet.list_shards(APPLICATION)
        self._caller = Caller(fleet.session, APPLICATION, self._seeds)
        self._sent = 0
        self._last_query_id = ""
        self._load: LoadGenerator | None = None

    async def search(self) -> None:
        """Send one search, print its answer and check it."""
        self._sent += 1
        query = {"mark": f"flood mark {self._sent}"}
        reply = await self._caller.search(query, DEADLINE_MS)
        print(f"  {self._describe(reply)}")
        if isinstance(reply.content, SearchAnswer):
            answer = reply.content
            self._last_query_id = answer.query_id
            found = find_faults(answer, query, self._shards, HITS_PER_SHARD)
            self.note(found)
            if answer.not_covered:
                self.print_decisions(tuple(one.shard for one in answer.not_covered))

    def note(self, faults: list[str]) -> None:
        """Print and keep contradictions.

        :param faults: one sentence each.
        """
        self.faults += faults
        for fault in faults:
            print(f"  UNTRUE: {fault}")

    def _describe(self, reply: Reply) -> str:
        answer = reply.content
        if not isinstance(answer, SearchAnswer):
            assert reply.error is not None
            error = reply.error
            return f"error {error.type.value} (ran: {error.ran.value}): {error.message}"
        count = len(answer.covered)
        missing = ", ".join(
            f"{one.shard} ({one.reason.value})" for one in answer.not_covered
        )
        return (
            f"covered {count} of {count + len(answer.not_covered)} shards, "
            f"snapshot {answer.snapshot}, {len(answer.hits)} hits, "
            f"{answer.elapsed_ms:.1f} ms, from {reply.address}"
            + (f"; missing: {missing}" if missing else "")
        )

    async def search_several(self) -> None:
        """Send the searches of one step."""
        for _ in range(QUERIES_PER_STEP):
            await self.search()

    def print_decisions(self, shards: tuple[str, ...] = ()) -> None:
        """Print the log lines of the latest query from all daemons, by time.

        :param shards: print only lines that name one of these; empty for all lines.
        """
        print(f"  query_id={self._last_query_id}")
        found = []
        for host_id, daemon in self._fleet.daemons.items():
            assert daemon.process is not None
            for line in daemon.process.read_log().splitlines():
                if shards and not any(shard in line for shard in shards):
                    continue
                if self._last_query_id and self._last_query_id in line:
                    at, _, text = line.split(" ", 2)
                    text = text.replace(f"query_id={self._last_query_id} ", "")
                    found.append((at, host_id, text))
        for at, host_id, text in sorted(found):
            print(f"  {at[11:23]} {host_id:<12} {text}")

    async def count_domain_work(self, domain: str) -> int:
        """Count the executions in a failure domain.

        :param domain: failure domain.
        :returns: executions of its upstreams.
        """
        counters = await self._fleet.read_counters()
        return sum(
            counters[name].executed
            for name, one in self._fleet.upstreams.items()
            if name in counters and one.plan.failure_domain == domain
        )

    async def is_quiet(self, domain: str) -> bool:
        """Tell whether searches bring no work to a failure domain.

        :param domain: failure domain.
        :returns: True if two searches started nothing there.
        """
        before = await self.count_domain_work(domain)
        for _ in range(2):
            await self._caller.search({"watch": domain}, DEADLINE_MS)
        return await self.count_domain_work(domain) == before

    async def wait_for_domain(self, domain: str, out: bool) -> None:
        """Wait until a change of a failure domain takes effect, and print the time.

        :param domain: failure domain.
        :param out: True to wait for the end of its work, False for new work.
        """
        started = time.monotonic()

        async def is_done() -> bool:
            return await self.is_quiet(domain) == out

        verb = "gets no more work" if out else "gets work again"
        await wait_until(is_done, EFFECT_WITHIN, f"{domain} {verb}")
        print(f"  {domain} {verb} after {time.monotonic() - started:.1f} s")

    async def run_load(self) -> None:
        """Send searches in the background and check every answer."""
        plan = LoadPlan(
            application=APPLICATION,
            seed_addresses=self._seeds,
            rate_per_s=LOAD_RATE_PER_S,
            duration_s=MAX_LOAD_S,
            deadline_ms=DEADLINE_MS,
            shards=self._shards,
            hits_per_shard=HITS_PER_SHARD,
        )
        self._load = LoadGenerator(plan)
        records = await self._load.run()
        self.faults += [fault for record in records for fault in record.faults]
        report = make_report(records)
        self.note([] if report.answers else ["the background load got no answer"])
        print("\nBackground load during all of the steps above:")
        print("\n".join(f"  {line}" for line in report.to_text().splitlines()))

    def stop_load(self) -> None:
        """End the background load after the calls that are under way."""
        if self._load is not None:
            self._load.stop()

    async def stop_daemons(self) -> None:
        """Stop the daemons as planned and check their exit codes."""
        running = [
            one.process
            for one in self._fleet.daemons.values()
            if one.process is not None and one.process.running
        ]
        for process in running:
            process.terminate()
        codes = [await process.wait(STOP_WITHIN) for process in running]
        print(f"  exit codes: {codes}")
        self.note([f"exit code {code}" for code in codes if code != 0])
