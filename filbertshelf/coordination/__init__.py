"""Services of an instance: queries, bookings, configuration and membership."""
