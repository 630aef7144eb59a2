"""Scenarios: a failure domain is taken out, or an upstream leaves, under load."""

import asyncio
import contextlib
import time

from celeryferry_core.models.topology import Hedging
from celeryferry_standins.processes import wait_until
from tests.system.support_cold import (
    FULL_RATE_PER_S,
    LONG_DEADLINE_MS,
    WITHIN,
    count,
    name_upstream,
    rank_owners,
    running_load,
    wait_for_full_load,
    wait_for_work,
)

BOUND_MS = 5000.0
# Work is watched this long after the bound.
WATCHED_S = 6.0
# Hosts that wake up after the bound need some time to hold leases again.
WATCHED_AFTER_WAKING_S = 8.5
SLOW_SHARE = 0.3


class Watch:
    """Watches for work that is started after a change.

    :ivar changed_at_unix_ms: time just after the change was made.
    """

    def __init__(self, fleet, upstream, load, watched_s=WATCHED_S):
        self._fleet = fleet
        self._upstream = upstream
        self._load = load
        self._end = time.monotonic() + watched_s
        self.changed_at = time.monotonic()
        self.changed_at_unix_ms = time.time() * 1000
        self.last_start_ms = 0.0
        self.executed = 0

    def seconds_until(self, after_s):
        """Return the time left until some seconds after the change."""
        return max(0.0, self.changed_at + after_s - time.monotonic())

    async def finish(self):
        """Read the time of the last start once the watched time is over."""
        await asyncio.sleep(max(0.0, self._end - time.monotonic()))
        found = await count(self._fleet, self._upstream)
        self.last_start_ms = found.last_start_unix_ms - self.changed_at_unix_ms
        self.executed = found.executed
        return self

    def list_incomplete(self):
        """List the calls after the change that were not answered in full."""
        calls = self._load.list_since(self.changed_at)
        return [one for one in calls if one.error or one.covered < one.asked]

    def list_calls(self):
        """List the calls after the change."""
        return self._load.list_since(self.changed_at)

    def list_faults(self):
        """List contradictions between answers and the upstreams."""
        return self._load.list_faults()


@contextlib.asynccontextmanager
async def loaded(fleet, application, domain, **options):
    """Load the upstream of a failure domain fully during the block."""
    async with running_load(fleet, application, domain, **options) as load:
        await wait_for_full_load(fleet, name_upstream(application, domain))
        yield load


async def take_out(fleet, application, domain):
    """Mark a failure domain out in the document of an application."""
    await fleet.change_services(application, failure_domains_out=(domain,))


async def take_out_under_load(fleet, application, domain):
    """Take a failure domain out under full load."""
    upstream = name_upstream(application, domain)
    async with loaded(fleet, application, domain, is_pinned=True) as load:
        await take_out(fleet, application, domain)
        return await Watch(fleet, upstream, load).finish()


async def take_out_with_hedges(fleet, application, domain, near):
    """Take a failure domain out that gets hedges and other remote work only."""
    hedging = Hedging(budget_percent=50.0)
    await fleet.change_services(application, hedging=hedging)
    upstream = name_upstream(application, domain)
    async with running_load(fleet, application, near, FULL_RATE_PER_S / 4) as load:
        await wait_for_work(fleet, name_upstream(application, near), 5)
        await fleet.control_upstream(
            name_upstream(application, near),
            straggle_factor=5.0,
            straggle_share=SLOW_SHARE,
        )
        await wait_for_work(fleet, upstream, 3)
        await take_out(fleet, application, domain)
        return await Watch(fleet, upstream, load).finish()


async def take_out_with_domain_cut_off(fleet, application, domain):
    """Take a failure domain out whose hosts are cut off from the others."""
    hosts = rank_owners(fleet, application, domain)
    return await take_out_with_hosts_cut_off(fleet, application, domain, hosts)


async def take_out_with_owner_cut_off(fleet, application, domain):
    """Take a failure domain out while the owner there is cut off."""
    owner = rank_owners(fleet, application, domain)[0]
    return await take_out_with_hosts_cut_off(fleet, application, domain, [owner])


async def take_out_with_hosts_cut_off(fleet, application, domain, hosts):
    """Take a failure domain out while only callers reach some of its hosts."""
    upstream = name_upstream(application, domain)
    async with loaded(fleet, application, domain, is_pinned=True) as load:
        await cut_off(fleet, hosts)
        await take_out(fleet, application, domain)
        watch = await Watch(fleet, upstream, load).finish()
    await fleet.partition()
    for host_id in hosts:
        await fleet.control_daemon(host_id, configuration_service=False)
    return watch


async def cut_off(fleet, hosts):
    """Cut hosts off from the configuration service and from all other hosts."""
    others = sorted(set(fleet.daemons) - set(hosts))
    for host_id in hosts:
        await fleet.control_daemon(
            host_id, cut_hosts=others, configuration_service=True
        )
    for host_id in others:
        # Another scenario may have cut off other hosts.
        await fleet.control_daemon(host_id, add_cut_hosts=list(hosts))


async def take_out_with_domain_stopped(fleet, application, domain):
    """Take a failure domain out whose hosts are all stopped and wake up later."""
    upstream = name_upstream(application, domain)
    stopped = [
        one.process
        for one in fleet.daemons.values()
        if one.host.failure_domain == domain
    ]
    async with loaded(fleet, application, domain, deadline_ms=LONG_DEADLINE_MS) as load:
        for process in stopped:
            process.pause()
        await take_out(fleet, application, domain)
        watch = Watch(fleet, upstream, load, WATCHED_AFTER_WAKING_S)
        # Buffered requests are then in time, and every lease has run out.
        await asyncio.sleep(watch.seconds_until(BOUND_MS / 1000 + 0.2))
        for process in stopped:
            process.resume()
        return await watch.finish()


async def drain(fleet, application, domain):
    """Drain a loaded upstream that the host list names only later."""
    upstream = name_upstream(application, domain)
    async with loaded(fleet, application, domain) as load:
        await fleet.control_upstream(upstream, draining=True)
        return await Watch(fleet, upstream, load).finish()


async def list_as_leaving(fleet, application, domain):
    """Name a loaded upstream in the host list only."""
    upstream = name_upstream(application, domain)
    async with loaded(fleet, application, domain) as load:
        address = fleet.upstreams[upstream].address
        await fleet.control_host_list(leaving_upstreams=[address])
        return await Watch(fleet, upstream, load).finish()


async def take_out_while_service_is_stale(fleet, application, domain, informed):
    """Take a failure domain out while others see no or an old configuration.

    Only the hosts of ``informed`` can read the document; when the others reach the
    configuration service again, it serves the state before the change.
    """
    upstream = name_upstream(application, domain)
    uninformed = [
        name
        for name, one in fleet.daemons.items()
        if one.host.failure_domain != informed
    ]
    reader = rank_owners(fleet, application, informed)[0]
    async with loaded(fleet, application, domain) as load:
        before = (await fleet.control_configuration())["revision"]
        for host_id in uninformed:
            await fleet.control_daemon(host_id, configuration_service=True)
        await take_out(fleet, application, domain)
        watch = Watch(fleet, upstream, load)
        await wait_until_out(fleet, reader, application, domain)
        await fleet.control_configuration(stale_at=before)
        for host_id in uninformed:
            await fleet.control_daemon(host_id, configuration_service=False)
        await watch.finish()
    await fleet.control_configuration(stale_at=-1)
    return watch


async def wait_until_out(fleet, host_id, application, domain):
    """Wait until a host no longer names the hosts of a failure domain to callers."""
    address = fleet.daemons[host_id].host.callers_address
    url = f"http://{address}/v1/entry-hosts?application={application}"

    async def is_out():
        async with fleet.session.get(url) as response:
            hosts = (await response.json())["hosts"]
        return domain not in {one["failure_domain"] for one in hosts}

    await wait_until(is_out, WITHIN, f"{domain} is out for {host_id}")


async def drain_while_owner_is_stopped(fleet, application, domain):
    """Drain an upstream whose owner is stopped, and continue the owner later."""
    upstream = name_upstream(application, domain)
    owner = fleet.daemons[rank_owners(fleet, application, domain)[0]].process
    async with loaded(fleet, application, domain, deadline_ms=LONG_DEADLINE_MS) as load:
        owner.pause()
        await fleet.control_upstream(upstream, draining=True)
        watch = Watch(fleet, upstream, load)
        await asyncio.sleep(watch.seconds_until(BOUND_MS / 1000 + 0.2))
        owner.resume()
        return await watch.finish()
