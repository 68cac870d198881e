"""Adapter to the operators' platform: names, formats and calls.

It makes no decisions. It translates the platform's field names into the
product's types once, so that other packages do not depend on them.
"""
