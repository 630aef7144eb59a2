"""Lookup of the rule of a request, and choice of the services it goes to."""

from collections.abc import Iterable

from celeryferry_core.environment import RandomSource
from celeryferry_core.forwarding.models import ForwardingRule, Sharded, Weighted


class RuleTable:
    """Rules by host name, longest path prefix first.

    :param rules: rules of one configuration version. Host names are compared without
        regard to case.
    """

    __slots__ = ("_rules_by_host_name",)

    def __init__(self, rules: Iterable[ForwardingRule]) -> None:
        self._rules_by_host_name: dict[str, list[ForwardingRule]] = {}
        for rule in rules:
            self._rules_by_host_name.setdefault(rule.host_name.lower(), []).append(rule)
        for rules_of_host in self._rules_by_host_name.values():
            rules_of_host.sort(key=lambda rule: len(rule.path_prefix), reverse=True)

    def find(self, host_name: str, path_and_query: str) -> ForwardingRule | None:
        """Find the rule of a request.

        :param host_name: ``Host`` header, with or without a port.
        :param path_and_query: path and query string as the caller sent them.
        :returns: the rule with the longest matching path prefix, or None.
        """
        name = host_name.partition(":")[0].lower()
        path = path_and_query.partition("?")[0]
        for rule in self._rules_by_host_name.get(name, ()):
            if path.startswith(rule.path_prefix):
                return rule
        return None


def pick_services(rule: ForwardingRule, random: RandomSource) -> tuple[str, ...]:
    """Choose the services that one request goes to.

    :returns: all shards of a sharded target, or one service drawn by weight.
    """
    match rule.target:
        case Sharded(services=services):
            return services
        case Weighted(parts=parts):
            remaining = random.random() * sum(part.weight for part in parts)
            for part in parts:
                remaining -= part.weight
                if remaining < 0:
                    return (part.service,)
            return (parts[-1].service,)


def list_services(rules: Iterable[ForwardingRule]) -> frozenset[str]:
    """Return the services that requests of any of these rules go to."""
    services: set[str] = set()
    for rule in rules:
        match rule.target:
            case Sharded(services=shards):
                services.update(shards)
            case Weighted(parts=parts):
                services.update(part.service for part in parts)
    return frozenset(services)
