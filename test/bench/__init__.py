"""Tests of filbertshelf.bench."""
