"""Steps of the demo: send searches, check every answer and print the results."""

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
# Upper bound only; the load is stopped after the last step.
MAX_LOAD_DURATION_S = 40.0
EFFECT_TIMEOUT = timedelta(seconds=6)
STOP_TIMEOUT = timedelta(seconds=15)
HITS_PER_SHARD = 3


class Demo:
    """Steps of the demo, which share a caller and the contradictions found.

    :param fleet: running fleet.
    :ivar faults: contradictions between answers and the upstreams.
    """

    def __init__(self, fleet: Fleet):
        self.faults: list[str] = []
        self._fleet = fleet
        self._seeds = fleet.entry_addresses
        self._shards = fleet.list_shards(APPLICATION)
        self._caller = Caller(fleet.session, APPLICATION, self._seeds)
        self._sent_count = 0
        self._last_query_id = ""
        self._load: LoadGenerator | None = None

    async def search(self) -> None:
        """Send one search, print its answer and check it."""
        self._sent_count += 1
        query = {"mark": f"flood mark {self._sent_count}"}
        reply = await self._caller.search(query, DEADLINE_MS)
        print(f"  {self._describe(reply)}")
        if isinstance(reply.content, SearchAnswer):
            answer = reply.content
            self._last_query_id = answer.query_id
            faults = find_faults(answer, query, self._shards, HITS_PER_SHARD)
            self.record_faults(faults)
            if answer.not_covered:
                self.print_decisions(tuple(one.shard for one in answer.not_covered))

    def record_faults(self, faults: list[str]) -> None:
        """Print and record contradictions.

        :param faults: one sentence for each contradiction.
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
        """Send ``QUERIES_PER_STEP`` searches one after the other."""
        for _ in range(QUERIES_PER_STEP):
            await self.search()

    def print_decisions(self, shards: tuple[str, ...] = ()) -> None:
        """Print the log lines of the last query from all daemons, sorted by time.

        :param shards: print only lines that name one of these; empty for all lines.
        """
        print(f"  query_id={self._last_query_id}")
        log_lines = []
        for host_id, daemon in self._fleet.daemons.items():
            assert daemon.process is not None
            for line in daemon.process.read_log().splitlines():
                if shards and not any(shard in line for shard in shards):
                    continue
                if self._last_query_id and self._last_query_id in line:
                    logged_at, _, text = line.split(" ", 2)
                    text = text.replace(f"query_id={self._last_query_id} ", "")
                    log_lines.append((logged_at, host_id, text))
        for logged_at, host_id, text in sorted(log_lines):
            print(f"  {logged_at[11:23]} {host_id:<12} {text}")

    async def count_domain_work(self, domain: str) -> int:
        """Return the executions on the running upstreams of a failure domain."""
        counters = await self._fleet.read_counters()
        return sum(
            counters[name].executed
            for name, one in self._fleet.upstreams.items()
            if name in counters and one.plan.failure_domain == domain
        )

    async def gets_no_work(self, domain: str) -> bool:
        """Return whether two searches start no work in a failure domain."""
        before = await self.count_domain_work(domain)
        for _ in range(2):
            await self._caller.search({"watch": domain}, DEADLINE_MS)
        return await self.count_domain_work(domain) == before

    async def wait_for_domain(self, domain: str, is_out: bool) -> None:
        """Wait until a change of a failure domain has taken effect; print the duration.

        :param domain: failure domain.
        :param is_out: True to wait until it gets no work, False until it gets work.
        """
        started = time.monotonic()

        async def has_taken_effect() -> bool:
            return await self.gets_no_work(domain) == is_out

        verb = "gets no more work" if is_out else "gets work again"
        await wait_until(has_taken_effect, EFFECT_TIMEOUT, f"{domain} {verb}")
        print(f"  {domain} {verb} after {time.monotonic() - started:.1f} s")

    async def run_load(self) -> None:
        """Send searches in the background and check every answer."""
        plan = LoadPlan(
            application=APPLICATION,
            seed_addresses=self._seeds,
            rate_per_s=LOAD_RATE_PER_S,
            duration_s=MAX_LOAD_DURATION_S,
            deadline_ms=DEADLINE_MS,
            shards=self._shards,
            hits_per_shard=HITS_PER_SHARD,
        )
        self._load = LoadGenerator(plan)
        records = await self._load.run()
        self.faults += [fault for record in records for fault in record.faults]
        report = make_report(records)
        self.record_faults(
            [] if report.answers else ["the background load got no answer"]
        )
        print("\nBackground load during all of the steps above:")
        print("\n".join(f"  {line}" for line in report.to_text().splitlines()))

    def stop_load(self) -> None:
        """Stop sending background load; calls in flight still finish."""
        if self._load is not None:
            self._load.stop()

    async def stop_daemons(self) -> None:
        """Shut the daemons down with SIGTERM and check their exit codes."""
        running = [
            one.process
            for one in self._fleet.daemons.values()
            if one.process is not None and one.process.running
        ]
        for process in running:
            process.terminate()
        codes = [await process.wait(STOP_TIMEOUT) for process in running]
        print(f"  exit codes: {codes}")
        self.record_faults([f"exit code {code}" for code in codes if code != 0])
