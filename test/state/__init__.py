"""Tests of filbertshelf.state."""
