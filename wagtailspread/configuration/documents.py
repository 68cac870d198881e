"""A configuration document of which the highest version is in force.

It stands beside the base file and its overlays for platforms that number
their configurations themselves. The document is kept as the bytes that were
put; the state machine does not read them.

>>> document = VersionedDocument()
>>> document.put(7, b'seven'), document.put(7, b'other'), document.put(3, b'')
(True, False, False)
>>> document.version, document.body
(7, b'seven')
"""

#: Version before the first document.
NO_VERSION = -1


class VersionedDocument:
    """The newest document and its version."""

    def __init__(self) -> None:
        """Start without a document."""
        self.version = NO_VERSION
        self.body = b''

    def put(self, version: int, body: bytes) -> bool:
        """Take a document if its version is higher than the one held.

        :returns: whether it is in force now.
        """
        if version <= self.version:
            return False
        self.version = version
        self.body = body
        return True
