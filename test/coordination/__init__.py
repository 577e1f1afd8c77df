"""Tests of filbertshelf.coordination."""
