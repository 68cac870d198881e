"""The request path of hosts that place requests by themselves.

It serves routes of a configuration document: at most once without a key, with
a route's timeout and number of attempts. The ledger of bytes sent decides what
a caller may be told.
"""
