"""Puts this directory on the import path for modules that tests share."""
