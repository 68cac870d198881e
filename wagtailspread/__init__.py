"""A proxy fleet for upstreams that degrade without failing outright.

The coordination packages (:mod:`wagtailspread.allocation`,
:mod:`wagtailspread.health`, :mod:`wagtailspread.membership`,
:mod:`wagtailspread.consensus`, :mod:`wagtailspread.idempotency`) perform no I/O
and read no clock, so that other programs can embed them.
"""
