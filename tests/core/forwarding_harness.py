"""Harness for forwarding sessions with a simulated clock and scripted upstreams."""

import heapq
import itertools
import random
from collections.abc import Callable
from datetime import timedelta
from typing import Any

import msgspec

from celeryferry_core.forwarding.budgets import BudgetLimits, ExtraAttemptBudgets
from celeryferry_core.forwarding.cold_senders import ColdSenders
from celeryferry_core.forwarding.events import (
    AttemptEnded,
    CallerGone,
    CancelAttempt,
    Finish,
    SendAttempt,
    SetTimer,
    TimerFired,
)
from celeryferry_core.forwarding.models import (
    ForwardingRule,
    ServiceBounds,
    Sharded,
    Upstream,
    Weighted,
    WeightedService,
)
from celeryferry_core.forwarding.outcomes import (
    Failed,
    LossReason,
    Lost,
    RefusalReason,
    Refused,
    Succeeded,
    UpstreamResponse,
)
from celeryferry_core.forwarding.registry import UpstreamRegistry
from celeryferry_core.forwarding.selection import UpstreamSelector
from celeryferry_core.forwarding.session import ForwardingSession, SessionContext
from celeryferry_core.forwarding.timing import TimesByRule
from celeryferry_core.forwarding.warmup import WarmupLimits

BUDGET_WINDOW = timedelta(seconds=10)
# Requests counted before those of the test, to fill the budgets.
EARNING_REQUESTS = 1000

Script = Callable[[SendAttempt, int], tuple[float, AttemptEnded] | None]


def ms(value: float) -> timedelta:
    """Return milliseconds as a duration."""
    return timedelta(milliseconds=value)


def make_upstream(service: str, domain: str, **changes) -> Upstream:
    """Return the upstream of a service in a failure domain, with changed fields."""
    fields = {
        "instance_id": f"{service}-{domain}",
        "service": service,
        "address": "127.0.0.1:9000",
        "failure_domain": domain,
        "slots": 4,
    }
    return Upstream(**(fields | changes))


def make_sharded_rule(shards: int = 4, **changes) -> ForwardingRule:
    """Return a rule whose requests go to every shard."""
    services = tuple(f"s{number}" for number in range(shards))
    fields = {
        "name": "lookup",
        "host_name": "a.example",
        "path_prefix": "/lookup/",
        "target": Sharded(services, top_count=3, min_covered_ratio=0.75),
        "is_repeatable": True,
        "max_attempts": 2,
        "timeout": ms(800),
        "target_latency": ms(200),
    }
    return ForwardingRule(**(fields | changes))


def make_single_rule(**changes) -> ForwardingRule:
    """Return a rule whose requests go to one upstream."""
    target = Weighted((WeightedService("orders", 1.0),))
    return make_sharded_rule(
        **({"name": "order", "path_prefix": "/order/", "target": target} | changes)
    )


def succeed(action: SendAttempt, body: bytes = b"", stamp: str = "") -> AttemptEnded:
    """Return the successful end of an attempt."""
    stamp = stamp or f"stamp-{action.upstream.instance_id}"
    response = UpstreamResponse(200, (), body, stamp)
    return AttemptEnded(action.attempt_id, Succeeded(response))


def fail(action: SendAttempt, status: int = 500) -> AttemptEnded:
    """Return the end of an attempt that ran and failed."""
    response = UpstreamResponse(status, (), b"", "stamp")
    return AttemptEnded(action.attempt_id, Failed(response))


def refuse(action: SendAttempt) -> AttemptEnded:
    """Return the end of an attempt that was refused because of load."""
    refused = Refused(RefusalReason.UPSTREAM_REFUSED)
    return AttemptEnded(action.attempt_id, refused)


def lose(action: SendAttempt) -> AttemptEnded:
    """Return the end of an attempt whose connection was lost after sending."""
    return AttemptEnded(action.attempt_id, Lost(LossReason.CONNECTION_LOST))


def answer_all(action: SendAttempt, _count: int) -> tuple[float, AttemptEnded]:
    """Answer every attempt after 5 ms."""
    return 5.0, succeed(action)


class FixedSenders(ColdSenders):
    """States whether this host may send to cold upstreams.

    :ivar may_send_all: whether it is the sender for all of them.
    """

    def __init__(self) -> None:
        super().__init__("host-1", timedelta(0))
        self.may_send_all = True

    def may_send(self, instance_id: str, now: timedelta) -> bool:
        """Return what is stated."""
        return self.may_send_all


class ForwardingHarness:
    """Runs sessions against scripted upstreams.

    :param script: called with the action and the number of attempts of its shard so
        far; returns the delay in milliseconds and the end of the attempt, or None if it
        never ends.
    :param domains: failure domains, one letter each, with one upstream of each service.
    :param services: services that have upstreams.
    :param ratio: extra attempts allowed per request.
    :param burst: extra attempts allowed in addition to that.
    """

    def __init__(
        self,
        script: Script = answer_all,
        domains: str = "abc",
        services: tuple[str, ...] = ("s0", "s1", "s2", "s3", "orders"),
        ratio: float = 0.2,
        burst: float = 200.0,
    ) -> None:
        self.script = script
        self.origin = timedelta(seconds=100)
        self.now = self.origin
        self.registry = UpstreamRegistry()
        self.senders = FixedSenders()
        self.warmup = WarmupLimits(self.senders, 1.5, 5.0)
        source = random.Random(7)
        selector = UpstreamSelector("a", self.registry, self.warmup, source)
        selector.services = {
            service: ServiceBounds(80, cold_requests_per_s=0.0) for service in services
        }
        budgets = ExtraAttemptBudgets(BudgetLimits(ratio, burst, BUDGET_WINDOW))
        for service in services * EARNING_REQUESTS:
            budgets.count_request(service, timedelta(0))
        self.context = SessionContext(selector, budgets, TimesByRule(), source)
        for service, domain in itertools.product(services, domains):
            self.registry.put(make_upstream(service, domain), self.now)
        self.sent: list[SendAttempt] = []
        self.cancelled: list[int] = []
        self.elapsed = timedelta(0)
        self.transcript: list[bytes] = []
        self._events: list = []
        self._order = itertools.count()
        self._timer: int | None = None

    def leave_open(self, rule: ForwardingRule, elapsed: timedelta) -> None:
        """Start a request to one service and let the time elapse without an answer."""
        services = (rule.target.parts[0].service,)
        until = self.now + elapsed
        session = ForwardingSession(rule, services, self.now, ms(5_000), self.context)
        actions = session.start(self.now)
        timers = [action.at for action in actions if isinstance(action, SetTimer)]
        while timers and timers[-1] <= until:
            self.now = timers[-1]
            actions = session.handle(TimerFired(), self.now)
            timers = [action.at for action in actions if isinstance(action, SetTimer)]
        self.now = until

    def run(
        self,
        rule: ForwardingRule,
        time_left_ms: float = 1_000,
        caller_gone_after_ms=None,
    ):
        """Run one request and return its result."""
        match rule.target:
            case Sharded(services=services):
                pass
            case Weighted(parts=parts):
                services = (parts[0].service,)
        self.session = ForwardingSession(
            rule, services, self.now, ms(time_left_ms), self.context
        )
        self.sent, self.cancelled, self._events = [], [], []
        self._timer = None
        self.transcript = []
        started = self.now
        result = self._apply_actions(self.session.start(self.now))
        if caller_gone_after_ms is not None:
            self._push(self.now + ms(caller_gone_after_ms), CallerGone())
        while self._events:
            at, _, timer, event = heapq.heappop(self._events)
            if timer is not None and timer != self._timer:
                continue
            self.now = max(self.now, at)
            self._record_message("event", event, at_ms=(self.now - started) / ms(1))
            new_result = self._apply_actions(self.session.handle(event, self.now))
            if new_result is not None:
                assert result is None, "a session has one result"
                result = new_result
                self.elapsed = self.now - started
        return result

    def _apply_actions(self, actions):
        result = None
        for action in actions:
            self._record_message("action", action)
            match action:
                case SendAttempt():
                    self._send(action)
                case CancelAttempt(attempt_id):
                    self.cancelled.append(attempt_id)
                case SetTimer(at):
                    self._timer = next(self._order)
                    self._push(at, TimerFired(), self._timer)
                case Finish(found):
                    result = found
        return result

    def _record_message(
        self, kind: str, message: msgspec.Struct, **fields: Any
    ) -> None:
        fields = {kind: type(message).__name__, **fields}
        for name in message.__struct_fields__:
            value = getattr(message, name)
            if isinstance(value, Upstream):
                fields[name] = value.instance_id
            elif isinstance(value, msgspec.Struct):
                fields[name] = {type(value).__name__: value}
            elif isinstance(value, timedelta):
                # Monotonic times are given relative to the start of the harness.
                fields[name + "_ms"] = (value - self.origin) / ms(1)
            else:
                fields[name] = value
        self.transcript.append(msgspec.json.encode(fields))

    def _send(self, action: SendAttempt) -> None:
        self.sent.append(action)
        service = action.upstream.service
        count = sum(sent.upstream.service == service for sent in self.sent)
        scripted_end = self.script(action, count)
        if scripted_end is not None:
            self._push(self.now + ms(scripted_end[0]), scripted_end[1])

    def _push(self, at: timedelta, event, timer: int | None = None) -> None:
        heapq.heappush(self._events, (at, next(self._order), timer, event))
