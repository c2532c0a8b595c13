"""Runs the scripted scenarios of this folder."""

from pytest_bdd import scenarios

scenarios('.')
