"""Holds the active documents of this host."""

import asyncio
from collections import OrderedDict
from collections.abc import Callable

from result import Err, Ok, Result

from celeryferry_core.decisions.fleet import DocumentActivated, DocumentRejected
from celeryferry_core.mechanisms import Mechanisms
from celeryferry_core.models.messages import (
    DocumentsReply,
    DocumentsRequest,
    DocumentText,
)
from celeryferry_core.models.topology import ServiceDocument
from celeryferry_core.models.views import (
    ActiveDocument,
    ConfigurationView,
    DocumentVersion,
)
from celeryferry_core.ports import DecisionLog
from celeryferry_core.versions import (
    compute_digest,
    list_stamps,
    select_newer,
    supersedes,
)
from celeryferry_daemon._internal.streams import Streams

ParseDocument = Callable[[str], Result[ServiceDocument, object]]

# Larger texts are parsed in a thread, because parsing a document of 1 MB would block
# the event loop long enough to lose leases.
MAX_INLINE_PARSE_CHARACTERS = 16_384
MAX_REPLY_TEXT_BYTES = 2 * 1024 * 1024
MAX_DIGESTS_NOT_NEWER = 256
MAX_REJECTED = 1024


class ConfigurationStore:
    """Activates documents in the order of their versions and publishes them.

    :param streams: receive a new view of the configuration when it changes.
    :param parse: parses and validates the text of a document.
    :param log: receives decisions.
    :param mechanisms: switches for tests.
    :ivar rejected: latest rejection of each document, by name.
    """

    def __init__(
        self,
        streams: Streams,
        parse: ParseDocument,
        log: DecisionLog,
        mechanisms: Mechanisms,
    ) -> None:
        self._streams = streams
        self._parse = parse
        self._log = log
        self._mechanisms = mechanisms
        self._lock = asyncio.Lock()
        self._active: dict[str, ActiveDocument] = {}
        self._digests_not_newer: OrderedDict[str, None] = OrderedDict()
        self.rejected: dict[str, DocumentRejected] = {}
        self._publish()

    @property
    def active(self) -> dict[str, ActiveDocument]:
        """Active documents by name; callers must not modify the mapping."""
        return self._active

    @property
    def latest_revision(self) -> int:
        """Highest revision of an active document, or 0 if there is none."""
        revisions = (active.version.revision for active in self._active.values())
        return max(revisions, default=0)

    def holds(self, name: str, revision: int) -> bool:
        """Return whether a document is active here at exactly this revision.

        :param name: name of the document.
        :param revision: revision of the configuration service.
        """
        active = self._active.get(name)
        return active is not None and active.version.revision == revision

    def is_at_least_as_new_as(self, digest: str) -> bool:
        """Return whether the active documents are known to be no older than a peer's.

        :param digest: digest of the peer's documents.
        """
        return digest in self._digests_not_newer

    def mark_not_newer(self, digest: str) -> None:
        """Record that the active documents are at least as new as a peer's.

        The latest ``MAX_DIGESTS_NOT_NEWER`` digests are kept.

        :param digest: digest of the peer's documents.
        """
        self._digests_not_newer[digest] = None
        self._digests_not_newer.move_to_end(digest)
        while len(self._digests_not_newer) > MAX_DIGESTS_NOT_NEWER:
            self._digests_not_newer.popitem(last=False)

    def make_request(self) -> DocumentsRequest:
        """Return a request for documents newer than the active ones."""
        return DocumentsRequest(list_stamps(self._active))

    def answer_request(self, request: DocumentsRequest) -> DocumentsReply:
        """Return documents that are newer than those of a peer.

        The texts are limited to ``MAX_REPLY_TEXT_BYTES``; the peer repeats its request
        for the rest.

        :param request: versions that the peer has.
        """
        return DocumentsReply(
            select_newer(self._active, request.known, MAX_REPLY_TEXT_BYTES)
        )

    async def offer(self, texts: tuple[DocumentText, ...], source: str) -> int:
        """Validate documents and activate those that supersede the active ones.

        :param texts: documents as received.
        :param source: name of the sender for the log.
        :returns: number of documents that were activated.
        """
        async with self._lock:
            count = 0
            for text in texts:
                count += await self._offer_document(text, source)
            if count:
                self._publish()
            return count

    async def _offer_document(self, text: DocumentText, source: str) -> bool:
        active = self._active.get(text.name)
        if active is not None and (active.version.revision, active.text) == (
            text.revision,
            text.text,
        ):
            return False
        if len(text.text) > MAX_INLINE_PARSE_CHARACTERS:
            parsed = await asyncio.to_thread(self._parse, text.text)
        else:
            parsed = self._parse(text.text)
        match parsed:
            case Err(errors):
                reason = "; ".join(str(error) for error in errors.errors)
                return self._reject(text, source, reason)
            case Ok(document) if document.service != text.name:
                reason = (
                    f"service: found {document.service!r}; name the document and the "
                    "service alike"
                )
                return self._reject(text, source, reason)
            case Ok(document):
                return self._activate(text, document, source)
        return False

    def _activate(
        self, text: DocumentText, document: ServiceDocument, source: str
    ) -> bool:
        version = DocumentVersion(document.version, text.revision)
        active = self._active.get(text.name)
        if active is not None and self._mechanisms.version_order:
            if version == active.version:
                return False
            if not supersedes(version, active.version):
                return self._reject_out_of_order(text, version, active, source)
        self._active[text.name] = ActiveDocument(document, version, text.text)
        rejected = self.rejected.get(text.name)
        if rejected is not None and rejected.revision <= text.revision:
            del self.rejected[text.name]
        self._log.record(
            DocumentActivated(text.name, version.version, version.revision, source)
        )
        return True

    def _reject_out_of_order(
        self,
        text: DocumentText,
        version: DocumentVersion,
        active: ActiveDocument,
        source: str,
    ) -> bool:
        if text.text == active.text:
            return False
        if version.version == active.version.version:
            reason = (
                f"version {version.version} is active from revision "
                f"{active.version.revision}; read the document again and raise version"
            )
        else:
            reason = (
                f"version {version.version} is older than the active version "
                f"{active.version.version}; raise version above it"
            )
        return self._reject(text, source, reason)

    def _reject(self, text: DocumentText, source: str, reason: str) -> bool:
        rejected = DocumentRejected(text.name, text.revision, source, reason)
        known = self.rejected.get(text.name)
        if known and (known.revision, known.reason) == (text.revision, reason):
            return False
        if len(self.rejected) < MAX_REJECTED or text.name in self.rejected:
            self.rejected[text.name] = rejected
        self._log.record(rejected)
        return False

    def _publish(self) -> None:
        digest = compute_digest(self._active)
        self.mark_not_newer(digest)
        self._streams.configuration.on_next(
            ConfigurationView(dict(self._active), digest)
        )
