"""Forwards a request to endpoints, up to an answer or a clear failure.

Decides when an attempt counts as silent, and whether there is another one. It
is told where to send by ``planning``, and never chooses an endpoint.
"""
