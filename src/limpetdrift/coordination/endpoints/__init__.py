"""Decides what may be sent to an endpoint by what it has signalled.

Signals are refusals, back-offs, rate limits and the end of its lifetime. Which
of several endpoints is used is decided in ``planning``.
"""
