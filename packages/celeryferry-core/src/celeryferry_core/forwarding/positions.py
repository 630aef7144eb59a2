"""Positions in the history of a source, and what its items say after a restore.

A source can come back from a copy of itself. Its revisions then start again from those
of the copy and are given out a second time, so a revision orders changes only within
one era. The source states the era, which rises with each restore.
"""

from enum import StrEnum

import msgspec


class Position(msgspec.Struct, frozen=True, gc=False, order=True):
    """Point in the history of a source; a later era comes after all earlier ones.

    :param era: number of restores as the source states it, 0 if it states none.
    :param revision: revision within the era, 0 if nothing was read.
    """

    era: int = 0
    revision: int = 0

    @property
    def is_start(self) -> bool:
        """Whether nothing was read."""
        return self.revision == 0


START = Position()


class Evidence(StrEnum):
    """What a change that a source or a peer has sent proves.

    * ``CONFIRMED``: the item is as stated, and a missing one is known to be deleted.
    * ``UNCONFIRMED``: the item is as stated, but a missing one may have expired while
      the source was unavailable.
    * ``RESTORED``: the item comes from the first listing after a restore. It may be
      older than what is known, and a missing one may not have been written again yet.
    """

    CONFIRMED = "confirmed"
    UNCONFIRMED = "unconfirmed"
    RESTORED = "restored"


class AnswerUse(StrEnum):
    """What to do with an answer of a source.

    * ``APPLY``: it continues or replaces the contents.
    * ``RESTORE``: it is the first listing of a later era.
    * ``LIST``: a later era has begun, so that all items must be read.
    * ``SKIP``: contents that a peer has sent meanwhile are newer.
    * ``STALE``: it is older than what the source has acknowledged before, so it does
      not show that the source can be read.
    """

    APPLY = "apply"
    RESTORE = "restore"
    LIST = "list"
    SKIP = "skip"
    STALE = "stale"


def judge_listing(asked: Position, known: Position, answered: Position) -> AnswerUse:
    """Return what to do with a listing.

    :param asked: position of the contents when the call began.
    :param known: position of the contents now, which a peer may have moved on.
    :param answered: position of the listing.
    """
    if answered.era < asked.era or (
        answered.era == asked.era and answered.revision < asked.revision
    ):
        return AnswerUse.STALE
    if answered < known:
        return AnswerUse.SKIP
    is_restore = answered.era > known.era and not known.is_start
    return AnswerUse.RESTORE if is_restore else AnswerUse.APPLY


def judge_watch(asked: Position, known: Position, answered: Position) -> AnswerUse:
    """Return what to do with the changes after a position.

    A watch that was sent in one era and answered in a later one lacks the changes up to
    the revision that it names.

    :param asked: position after which changes were asked for.
    :param known: position of the contents now, which a peer may have moved on.
    :param answered: position up to which the answer holds all changes.
    """
    if answered < asked:
        return AnswerUse.STALE
    if answered.era > known.era:
        return AnswerUse.LIST
    return AnswerUse.APPLY if known.era == asked.era else AnswerUse.SKIP
