"""The parts of the thrift library that encode and decode structs.

Its package would also import its parser, its transports and other protocols.
They have no type annotations.
"""

import typing

from wagtailspread.core import packages

thrift: typing.Any = packages.import_part('thriftpy2.thrift')
cymemory: typing.Any = packages.import_part(
    'thriftpy2.transport.memory.cymemory'
)
# It uses the package of the transports, which is deferred by now.
cybin: typing.Any = packages.import_part('thriftpy2.protocol.cybin')
