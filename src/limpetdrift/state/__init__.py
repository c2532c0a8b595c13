"""Holds the state of a process: replicas, claims, leases and queues."""
