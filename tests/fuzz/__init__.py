"""Fuzzer: random input from outside, for parsers, connections and a site."""
