"""Implements the commands of ``limpetctl``."""
