"""A query tier over many shards that recovers from failures and logs its decisions."""

__version__ = "0.1.0"
