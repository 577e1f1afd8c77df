"""A query tier over many shards that repairs itself and explains what it did."""

__version__ = "0.1.0"
