"""A proxy fleet for upstreams that degrade without failing outright.

The coordination parts (:mod:`wagtailspread.allocation`,
:mod:`wagtailspread.health`, :mod:`wagtailspread.membership`,
:mod:`wagtailspread.consensus`, :mod:`wagtailspread.idempotency`) are free of
I/O and of clocks, so that other programs can embed them.
"""
