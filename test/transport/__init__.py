"""Tests of filbertshelf.transport."""
