"""Checks of partial answers, and merging of their hits."""

from collections.abc import Iterable
from enum import StrEnum
from itertools import chain

import msgspec
from result import Err, Ok, Result

from celeryferry_core.mechanisms import Mechanisms
from celeryferry_core.models.callers import Hit
from celeryferry_core.models.messages import PartialEntry
from celeryferry_core.models.outcomes import Answered

_HITS_DECODER = msgspec.json.Decoder(list[Hit])


class EntryVerdict(StrEnum):
    """Result of the check of an entry: it matches, or why it is dropped."""

    MATCHES = "matches"
    OTHER_QUERY = "other_query"
    NOT_ASKED = "not_asked"
    OTHER_UPSTREAM = "other_upstream"
    OTHER_VERSION = "other_version"
    DUPLICATE = "duplicate"


def classify_entry(
    entry: PartialEntry,
    asked_upstream: str | None,
    is_open: bool,
    version: int,
    mechanisms: Mechanisms,
) -> EntryVerdict:
    """Check an entry of a partial answer against the subquery that was sent.

    :param asked_upstream: upstream asked for the entry's shard in the batch, None if
        the batch did not ask for that shard.
    :param is_open: whether the outcome of the subquery is still awaited.
    :param version: index version that the query is pinned to.
    """
    if asked_upstream is None:
        return EntryVerdict.NOT_ASKED
    if mechanisms.answer_match and entry.upstream != asked_upstream:
        return EntryVerdict.OTHER_UPSTREAM
    if not is_open:
        return EntryVerdict.DUPLICATE
    match entry.outcome:
        case Answered(index_version=other) if other != version:
            if mechanisms.snapshot_check:
                return EntryVerdict.OTHER_VERSION
    return EntryVerdict.MATCHES


def decode_hits(raw: msgspec.Raw) -> Result[list[Hit], str]:
    """Decode the hits of one shard.

    :param raw: JSON array as the upstream sent it.
    :returns: the hits, or why they are malformed.
    """
    try:
        return Ok(_HITS_DECODER.decode(raw))
    except (ValueError, RecursionError) as error:
        return Err(str(error))


def merge_hits(hit_lists: Iterable[list[Hit]], limit: int | None) -> tuple[Hit, ...]:
    """Merge the hits of several shards.

    :param hit_lists: hits of each shard, in any order.
    :param limit: largest number of hits to return, None for all.
    :returns: hits by descending score, then by id, then by record.
    """
    merged = sorted(
        chain.from_iterable(hit_lists),
        key=lambda hit: (-hit.score, hit.id, bytes(hit.record)),
    )
    return tuple(merged if limit is None else merged[:limit])
