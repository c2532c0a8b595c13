"""Keeps requests that crash endpoints from reaching more of them.

Decides which requests are suspected or refused, from connections that broke
off and answers that were whole, at this entry and at others. It never sends
or retries a request.
"""
