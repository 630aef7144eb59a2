"""Messages on the links between hosts, as JSON."""

from typing import Annotated

import msgspec

from celeryferry_core.decoding import JsonDecoder
from celeryferry_core.forwarding.hosts import HostInfo, HostsUpdate, RelaysUpdate
from celeryferry_core.forwarding.positions import Position
from celeryferry_core.forwarding.reading import Availability
from celeryferry_daemon._internal.forwarding.ports import SourceItem

Revision = Annotated[int, msgspec.Meta(ge=0, le=2**63 - 1)]
Era = Revision


class SourceStatus(msgspec.Struct, frozen=True, gc=False, array_like=True):
    """How far a host has followed a source.

    :param revision: revision that its contents reflect, 0 without contents.
    :param heard_revision: highest revision that it has heard of.
    :param reads_it: whether its own latest call of the source has succeeded.
    :param is_available: whether the source can be read by it or by a host that it has a
        link to.
    :param era: era of ``revision``.
    :param heard_era: era of ``heard_revision``.
    :param is_availability_known: whether ``is_available`` rests on a call that has
        succeeded or failed. Without one it says nothing.
    :param is_read_in_domain: whether it, or a host of its domain that it has a link to,
        reads the source.
    """

    revision: Revision
    heard_revision: Revision
    reads_it: bool
    is_available: bool
    era: Era = 0
    heard_era: Era = 0
    is_availability_known: bool = True
    is_read_in_domain: bool = False

    @property
    def availability(self) -> Availability:
        """Whether it, or a host that it has a link to, can read the source."""
        if self.is_available:
            return Availability.AVAILABLE
        known = self.is_availability_known
        return Availability.LOST if known else Availability.UNKNOWN

    @property
    def position(self) -> Position:
        """Position that its contents reflect."""
        return Position(self.era, self.revision)

    @property
    def heard_position(self) -> Position:
        """Latest position that it has heard of."""
        return Position(self.heard_era, self.heard_revision)


class Hello(msgspec.Struct, frozen=True, gc=False, tag="hello"):
    """First message of both ends of a link: who they are."""

    host: HostInfo


class Tick(msgspec.Struct, frozen=True, gc=False, tag="tick"):
    """Sent regularly, so that the other end sees that the link works.

    :param sources: state of the sources by name.
    """

    sources: dict[str, SourceStatus]


class ContentsUpdate(msgspec.Struct, frozen=True, gc=False, tag="contents"):
    """Items of a source.

    :param after: revision that the receiver must have for these changes, 0 if the items
        are the whole contents.
    :param revision: revision that the receiver has afterwards.
    :param is_confirmed: False while the sender can't read the source, and for some time
        after that. A missing item may then have expired instead of being deleted.
    :param is_exact: whether the changes are complete only for a receiver with exactly
        the revision ``after``, and not with a later one.
    :param era: era of ``revision``.
    :param after_era: era of ``after``. If it is an earlier one, the source was restored
        in between, and the changes are those from the old contents to the new ones.
    :param base_digest: for exact changes, digest of the contents that they apply to. A
        listing of several pages can be ahead of its revision, so that contents of one
        position may differ.
    """

    source: str
    after: Revision
    revision: Revision
    items: tuple[SourceItem, ...]
    is_confirmed: bool
    is_exact: bool = False
    era: Era = 0
    after_era: Era = 0
    base_digest: int = 0

    @property
    def position(self) -> Position:
        """Position that the receiver has afterwards."""
        return Position(self.era, self.revision)

    @property
    def after_position(self) -> Position:
        """Position that the receiver must have, the start for the whole contents."""
        return Position(self.after_era, self.after)


class ContentsRequest(msgspec.Struct, frozen=True, gc=False, tag="request"):
    """Asks for the changes after a revision, or for all items if it is 0.

    :param era: era of ``after``.
    """

    source: str
    after: Revision
    era: Era = 0


class SeedQuestion(msgspec.Struct, frozen=True, gc=False):
    """Announces a host to a seed and asks for relays.

    :param wants_all: whether to answer with the relays of all domains.
    """

    host: HostInfo
    wants_all: bool


class SeedAnswer(msgspec.Struct, frozen=True, gc=False):
    """Relays that a seed knows."""

    relays: tuple[HostInfo, ...]


LinkMessage = (
    Hello | Tick | HostsUpdate | RelaysUpdate | ContentsUpdate | ContentsRequest
)

LINK_DECODER: JsonDecoder[LinkMessage] = JsonDecoder(LinkMessage)
QUESTION_DECODER = JsonDecoder(SeedQuestion)
ANSWER_DECODER = JsonDecoder(SeedAnswer)
ENCODER = msgspec.json.Encoder()
