"""The decision logic and data of one instance, without I/O."""
