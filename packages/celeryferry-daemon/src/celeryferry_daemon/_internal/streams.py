"""Streams that publish changes of state to the tasks that use it."""

from reactivex.subject import BehaviorSubject

from celeryferry_core.models.views import ConfigurationView, HeldKeys, Membership


class Streams:
    """Reactive streams of one daemon.

    Each subject sends its latest value to a new subscriber.

    :ivar configuration: active documents.
    :ivar membership: hosts with their liveness, and leaving upstreams.
    :ivar held_keys: ownership keys that this host holds.
    """

    __slots__ = ("configuration", "held_keys", "membership")

    def __init__(self) -> None:
        self.configuration: BehaviorSubject[ConfigurationView] = BehaviorSubject(
            ConfigurationView()
        )
        self.membership: BehaviorSubject[Membership] = BehaviorSubject(Membership())
        self.held_keys: BehaviorSubject[HeldKeys] = BehaviorSubject(HeldKeys())
