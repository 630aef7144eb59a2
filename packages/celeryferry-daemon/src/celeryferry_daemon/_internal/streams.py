"""Streams that carry what changes to the tasks that own state."""

from reactivex.subject import BehaviorSubject

from celeryferry_core.models.views import ConfigurationView, HeldKeys, Membership


class Streams:
    """The reactive streams of one daemon.

    Each subject replays its latest value to a new subscriber.

    :ivar configuration: active documents.
    :ivar membership: hosts and leaving upstreams.
    :ivar held_keys: ownership keys that this host holds.
    """

    __slots__ = ("configuration", "held_keys", "membership")

    def __init__(self) -> None:
        self.configuration: BehaviorSubject[ConfigurationView] = BehaviorSubject(
            ConfigurationView()
        )
        self.membership: BehaviorSubject[Membership] = BehaviorSubject(Membership())
        self.held_keys: BehaviorSubject[HeldKeys] = BehaviorSubject(HeldKeys())
