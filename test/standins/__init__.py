"""Tests of filbertshelf.standins."""
