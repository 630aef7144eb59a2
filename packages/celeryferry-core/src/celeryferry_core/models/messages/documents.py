"""Messages by which daemons pull documents from one another."""

from celeryferry_core.models.messages.base import Message


class DocumentStamp(Message, frozen=True):
    """Version of one document that a host has.

    :param name: name of the document.
    :param version: version in the document.
    :param revision: revision of the configuration service.
    """

    name: str
    version: int
    revision: int


class DocumentsRequest(Message, frozen=True):
    """Asks for documents that are newer than the listed ones.

    :param known: stamps of the documents that the sender has.
    """

    known: tuple[DocumentStamp, ...]


class DocumentText(Message, frozen=True):
    """One document as TOML.

    :param name: name of the document.
    :param revision: revision of the configuration service.
    :param text: TOML source.
    """

    name: str
    revision: int
    text: str


class DocumentsReply(Message, frozen=True):
    """Newer documents.

    :param documents: documents that the asking host lacks or has in an older version.
    """

    documents: tuple[DocumentText, ...]
