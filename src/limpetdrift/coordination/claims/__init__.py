"""Claims of non-idempotent requests, so that each runs at most once.

Decides who may send a request, from rows of the table service. It is told
which requests are to be sent and how they ended; it never sends one itself.
"""
