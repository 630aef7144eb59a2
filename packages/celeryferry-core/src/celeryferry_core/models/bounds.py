"""Limits on the fields of messages between daemons.

Messages of daemons are validated as strictly as those of callers. A faulty daemon must
not be able to exhaust the memory of the others, or to corrupt their leases, their
membership or the freshness of their configuration. Texts and arrays without a limit of
their own are bounded only by the size of the message.
"""

from typing import Annotated

from msgspec import Meta

MAX_AGE_MS = 10**11
MAX_COUNT = 10**6
MAX_SEQUENCE = 2**53
MAX_FLUSH_MS = 60_000
MAX_ITEMS = 4096

HostId = Annotated[str, Meta(max_length=128)]
Incarnation = Annotated[str, Meta(max_length=64)]
Digest = Annotated[str, Meta(max_length=128)]
# Names, ``ip:port`` addresses and ownership keys.
ShortText = Annotated[str, Meta(max_length=512)]
TicketText = Annotated[str, Meta(max_length=256)]
QueryId = Annotated[str, Meta(max_length=256)]
AgeMs = Annotated[int, Meta(ge=0, le=MAX_AGE_MS)]
Count = Annotated[int, Meta(ge=0, le=MAX_COUNT)]
SequenceNumber = Annotated[int, Meta(ge=0, le=MAX_SEQUENCE)]
FlushMs = Annotated[int, Meta(ge=0, le=MAX_FLUSH_MS)]
ShortTexts = Annotated[tuple[ShortText, ...], Meta(max_length=MAX_ITEMS)]
HostIds = Annotated[tuple[HostId, ...], Meta(max_length=MAX_ITEMS)]
