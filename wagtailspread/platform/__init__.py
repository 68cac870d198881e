"""Adapter to the users' platform: names, formats and calls.

Nothing here decides. Wire names are decoded once into the product's types.
"""
