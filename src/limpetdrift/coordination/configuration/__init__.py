"""Keeps an entry's configuration at the newest accepted versions.

Decides which version is in force here and whether it is confirmed, from the
store and from peers. It never applies a version that is older than its own.
"""
