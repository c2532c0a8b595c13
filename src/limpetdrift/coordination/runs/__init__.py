"""Runs of the product's own API, with their attempts and streams.

Decides whether a run is continued on another engine by the verdict of the last
attempt. The entry on the platform uses ``forwarding`` instead.
"""
