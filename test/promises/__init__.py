"""Tests of what must always hold, through real instances and stand-ins."""
