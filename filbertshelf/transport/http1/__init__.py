"""HTTP/1.1 over asyncio protocols, without a task or a future for each exchange."""
