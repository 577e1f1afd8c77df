"""Tests of filbertshelf.protocol."""
