"""A configuration document whose highest version is active.

It is an alternative to the base file and its overlays for platforms that
assign version numbers themselves. The document is stored as the submitted
bytes; the state machine does not parse them.

>>> document = VersionedDocument()
>>> document.put(7, b'seven'), document.put(7, b'other'), document.put(3, b'')
(True, False, False)
>>> document.version, document.body
(7, b'seven')
"""

#: Version before the first document.
NO_VERSION = -1


class VersionedDocument:
    """The active document and its version."""

    def __init__(self) -> None:
        """Start without a document."""
        self.version = NO_VERSION
        self.body = b''

    def put(self, version: int, body: bytes) -> bool:
        """Replace the document if the given version is higher.

        :param version: version of the given document.
        :param body: content of the given document.
        :returns: whether the document was replaced.
        """
        if version <= self.version:
            return False
        self.version = version
        self.body = body
        return True
