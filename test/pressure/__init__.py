"""Tests of a gateway process under clients and targets outside the usual limits."""
