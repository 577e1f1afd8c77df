"""Decisions and data of one instance, without I/O."""
