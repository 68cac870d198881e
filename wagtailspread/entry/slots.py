"""Messages between an entry host and the allocator of a service.

Aliases of the message types of the allocator.

See also: :mod:`wagtailspread.allocation.messages`.
"""

from wagtailspread.allocation import messages

UpstreamState = messages.UpstreamState
SlotRequest = messages.SlotRequest
Grant = messages.Grant
Completion = messages.Completion
LeaseClaim = messages.AdoptedLease
Announcement = messages.Announcement
