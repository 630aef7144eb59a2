"""Faults that the scenarios inject in the same way into every fleet."""

import asyncio
import random
from collections.abc import Iterable

from celeryferry_standins.launcher import Fleet
from celeryferry_standins.plans import UpstreamHandle

STRAGGLER_FACTOR = 10.0
UPSTREAMS_PER_STRAGGLER = 20
# Factor on the service time of a cold upstream.
COLD_FACTOR = 5.0
WARM_UP_S = 3.0
# No run reaches this count, so the cold start ends by time only, and the warm-up time
# of the upstreams is known.
UNREACHABLE_REQUEST_COUNT = 1_000_000


class FaultSelection:
    """Seeded choice of the upstreams that a fault hits.

    :param names: names of all upstreams, ``shard/failure_domain/number``.
    :param seed: seed of the choice.
    """

    def __init__(self, names: Iterable[str], seed: int):
        generator = random.Random(seed)
        ordered = sorted(names)
        shards: dict[str, list[str]] = {}
        for name in ordered:
            shards.setdefault(name.split("/")[0], []).append(name)
        count = -(-len(ordered) // UPSTREAMS_PER_STRAGGLER)
        self.stragglers = tuple(generator.sample(ordered, count))
        self.lost = tuple(generator.choice(shards[shard]) for shard in sorted(shards))
        self.cold = tuple(generator.sample(ordered, len(ordered) // 3))


async def set_straggle_factor(
    fleet: Fleet, names: Iterable[str], factor: float
) -> None:
    """Multiply the service time of upstreams.

    :param fleet: running fleet.
    :param names: upstreams.
    :param factor: factor, 1.0 for the usual time.
    """
    for name in names:
        await fleet.control_upstream(name, straggle_factor=factor)


def kill_upstreams(fleet: Fleet, names: Iterable[str]) -> None:
    """Kill the processes of upstreams.

    :param fleet: running fleet.
    :param names: upstreams that share their processes with no other.
    """
    for name in names:
        fleet.kill_upstream(name)


async def restart_upstreams(fleet: Fleet, names: Iterable[str]) -> None:
    """Start killed upstream processes again.

    :param fleet: running fleet.
    :param names: upstreams; each process is started once.
    """
    first = {
        id(fleet.upstreams[name].process_handle): name for name in reversed(list(names))
    }
    await asyncio.gather(*(fleet.restart_upstream(name) for name in first.values()))


def list_in_domain(fleet: Fleet, domain: str) -> list[str]:
    """List the upstreams of a failure domain.

    :param fleet: running fleet.
    :param domain: failure domain.
    """
    return [
        name
        for name, one in fleet.upstreams.items()
        if one.plan.failure_domain == domain
    ]


def list_daemons_in_domain(fleet: Fleet, domain: str) -> list[str]:
    """List the daemons of a failure domain.

    :param fleet: running fleet.
    :param domain: failure domain.
    """
    return [
        host_id
        for host_id, one in fleet.daemons.items()
        if one.host.failure_domain == domain
    ]


async def control_many(fleet: Fleet, names: Iterable[str], **changes: object) -> None:
    """Change the behaviour of upstreams.

    :param fleet: running fleet.
    :param names: upstreams.
    :param changes: fields of ``Behaviour``.
    """
    await asyncio.gather(*(fleet.control_upstream(name, **changes) for name in names))


async def take_domain_out(fleet: Fleet, domain: str, drain_after_s: float) -> None:
    """Mark a failure domain out in the documents, then drain its upstreams.

    :param fleet: running fleet.
    :param domain: failure domain.
    :param drain_after_s: time between both in seconds.
    """
    await fleet.change_services(None, failure_domains_out=(domain,))
    await asyncio.sleep(drain_after_s)
    names = list_in_domain(fleet, domain)
    await control_many(fleet, names, draining=True, drain_refuses=True)


async def put_domain_back(fleet: Fleet, domain: str) -> None:
    """End the drain of a failure domain and put it back in the documents.

    :param fleet: running fleet.
    :param domain: failure domain.
    """
    names = list_in_domain(fleet, domain)
    await control_many(fleet, names, draining=False, drain_refuses=False)
    await fleet.change_services(None, failure_domains_out=())


def kill_domain(fleet: Fleet, domain: str) -> None:
    """Kill every upstream and every daemon of a failure domain at once.

    :param fleet: running fleet.
    :param domain: failure domain.
    """
    hosts: dict[int, UpstreamHandle] = {}
    for name in list_in_domain(fleet, domain):
        hosts[id(fleet.upstreams[name].process_handle)] = fleet.upstreams[name]
    for one in hosts.values():
        one.process_handle.process.kill()
    for host_id in list_daemons_in_domain(fleet, domain):
        fleet.kill_daemon(host_id)


async def restart_domain(fleet: Fleet, domain: str) -> None:
    """Start everything in a killed failure domain again.

    :param fleet: running fleet.
    :param domain: failure domain.
    """
    await restart_upstreams(fleet, list_in_domain(fleet, domain))
    names = list_daemons_in_domain(fleet, domain)
    await asyncio.gather(*(fleet.start_daemon(name) for name in names))


async def turn_cold(fleet: Fleet, names: Iterable[str]) -> None:
    """Turn upstreams cold; callers first see it in the next answers.

    :param fleet: running fleet.
    :param names: upstreams.
    """
    await control_many(
        fleet,
        names,
        cold=True,
        cold_factor=COLD_FACTOR,
        warm_after_ms=WARM_UP_S * 1000,
        warm_after_requests=UNREACHABLE_REQUEST_COUNT,
    )
