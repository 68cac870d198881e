"""Request path of hosts that choose an upstream for each request.

A host serves the routes of a configuration document with the timeout and the
number of attempts of each route. A request runs at most once unless its route
allows repetition. The record of its attempts determines whether the caller may
be told that the request has not run.
"""
