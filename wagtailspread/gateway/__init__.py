"""Request path of hosts that choose upstreams for requests themselves.

A host serves the routes of a configuration document with the timeout and the
number of attempts of each route. A request without a key runs at most once.
The record of sent bytes determines whether a caller may be told that its
request has not run.
"""
