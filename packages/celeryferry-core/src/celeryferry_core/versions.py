"""Order of document versions, digest of a configuration, and documents to pull.

A document that is missing from the configuration service stays active, because the
service may be stale or may have lost its data. A document is retired by a later version
with an empty array of shards.
"""

from collections.abc import Iterable, Mapping

import xxhash

from celeryferry_core.models.messages import DocumentStamp, DocumentText
from celeryferry_core.models.views import ActiveDocument, DocumentVersion


def supersedes(new: DocumentVersion, active: DocumentVersion) -> bool:
    """Return whether a new version must replace the active one.

    The higher ``version`` wins. For equal versions the lower revision wins: it is
    the first of two concurrent writes. Thus all hosts end with the same document,
    whatever the order of arrival.
    """
    if new.version != active.version:
        return new.version > active.version
    return new.revision < active.revision


def compute_digest(documents: Mapping[str, ActiveDocument]) -> str:
    """Hash the names, versions and revisions of the active documents.

    :returns: 16 hexadecimal digits, also if there are no documents; never empty.
    """
    lines = [
        f"{name}\x1f{active.version.version}\x1f{active.version.revision}\n"
        for name, active in sorted(documents.items())
    ]
    return xxhash.xxh3_64_hexdigest("".join(lines).encode())


def list_stamps(documents: Mapping[str, ActiveDocument]) -> tuple[DocumentStamp, ...]:
    """Return one stamp for each active document, sorted by name."""
    return tuple(
        DocumentStamp(name, active.version.version, active.version.revision)
        for name, active in sorted(documents.items())
    )


def select_newer(
    documents: Mapping[str, ActiveDocument],
    peer_stamps: Iterable[DocumentStamp],
    max_bytes: int,
) -> tuple[DocumentText, ...]:
    """Return the documents that a peer lacks or has in a superseded version.

    :param peer_stamps: stamps of the documents that the peer has.
    :param max_bytes: largest total size of the texts. At least one document is returned
        even if it is larger, so that repeated pulls make progress.
    """
    peer_versions = {
        stamp.name: DocumentVersion(stamp.version, stamp.revision)
        for stamp in peer_stamps
    }
    selected = []
    size_bytes = 0
    for name, active in sorted(documents.items()):
        peer_version = peer_versions.get(name)
        if peer_version is not None and not supersedes(active.version, peer_version):
            continue
        size_bytes += len(active.text.encode())
        if selected and size_bytes > max_bytes:
            break
        selected.append(DocumentText(name, active.version.revision, active.text))
    return tuple(selected)
