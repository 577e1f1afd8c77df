"""Tests of the guarantees under failure, with real instances and stand-ins."""
