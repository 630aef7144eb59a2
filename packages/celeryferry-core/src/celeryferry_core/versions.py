"""Order of document versions, the digest of a configuration and what to pull.

A document that is absent from the configuration service stays in force: absence can
also mean that the service is stale or has lost its data. A document is retired by a
later version that says so.
"""

from collections.abc import Iterable, Mapping

import xxhash

from celeryferry_core.models.messages import DocumentStamp, DocumentText
from celeryferry_core.models.views import ActiveDocument, DocumentVersion


def supersedes(new: DocumentVersion, active: DocumentVersion) -> bool:
    """Tell whether a version takes the place of the active one.

    A higher ``version`` wins. For an equal ``version`` the lower revision wins: it is
    the first of two concurrent writes, on every host and in any order of arrival.

    :param new: offered version.
    :param active: version in force.
    :returns: True if the offered version must become active.
    """
    if new.version != active.version:
        return new.version > active.version
    return new.revision < active.revision


def compute_digest(documents: Mapping[str, ActiveDocument]) -> str:
    """Hash names and versions.

    :param documents: active documents by name.
    :returns: 16 hexadecimal digits, never empty, not even without documents.
    """
    lines = [
        f"{name}\x1f{active.version.version}\x1f{active.version.revision}\n"
        for name, active in sorted(documents.items())
    ]
    return xxhash.xxh3_64_hexdigest("".join(lines).encode())


def list_stamps(documents: Mapping[str, ActiveDocument]) -> tuple[DocumentStamp, ...]:
    """Return the stamps of documents.

    :param documents: active documents by name.
    :returns: one stamp for each, sorted by name.
    """
    return tuple(
        DocumentStamp(name, active.version.version, active.version.revision)
        for name, active in sorted(documents.items())
    )


def select_newer(
    documents: Mapping[str, ActiveDocument],
    known: Iterable[DocumentStamp],
    limit_bytes: int,
) -> tuple[DocumentText, ...]:
    """Return the documents that a peer lacks or has in a superseded version.

    :param documents: active documents by name.
    :param known: stamps of the peer.
    :param limit_bytes: size of the texts after which the answer stops; at least one
        document is returned, so that repeated pulls make progress.
    :returns: the documents.
    """
    versions = {
        stamp.name: DocumentVersion(stamp.version, stamp.revision) for stamp in known
    }
    selected = []
    size_bytes = 0
    for name, active in sorted(documents.items()):
        other = versions.get(name)
        if other is not None and not supersedes(active.version, other):
            continue
        size_bytes += len(active.text.encode())
        if selected and size_bytes > limit_bytes:
            break
        selected.append(DocumentText(name, active.version.revision, active.text))
    return tuple(selected)
