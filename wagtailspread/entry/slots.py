"""Messages between an entry host and the allocator of a service.

They are the allocator's own, under the names that the request path uses.

See also: :mod:`wagtailspread.allocation.messages`.
"""

from wagtailspread.allocation import messages

UpstreamState = messages.UpstreamState
SlotRequest = messages.SlotRequest
Grant = messages.Grant
Completion = messages.Completion
LeaseClaim = messages.AdoptedLease
Announcement = messages.Announcement
