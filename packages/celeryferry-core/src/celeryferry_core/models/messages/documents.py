"""Messages with which daemons fetch service documents from one another."""

from celeryferry_core.models.messages.base import Message


class DocumentStamp(Message, frozen=True):
    """Version of one document that a host has.

    :param version: version number stated in the document.
    :param revision: revision that the configuration service assigned to the document.
    """

    name: str
    version: int
    revision: int


class DocumentsRequest(Message, frozen=True):
    """Request for the documents that are newer than the listed ones.

    :param known: stamps of all documents that the sender has.
    """

    known: tuple[DocumentStamp, ...]


class DocumentText(Message, frozen=True):
    """One document as TOML.

    :param revision: revision that the configuration service assigned to the document.
    :param text: TOML source.
    """

    name: str
    revision: int
    text: str


class DocumentsReply(Message, frozen=True):
    """Answer to a ``DocumentsRequest``.

    :param documents: documents that the requesting host lacks or has in an older
        version.
    """

    documents: tuple[DocumentText, ...]
