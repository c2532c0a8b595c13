"""Queues and memory of engines at their homes, for the product's own API.

Decides which request an engine takes next and which memory it may use. The
entry on the platform uses ``planning`` instead.
"""
