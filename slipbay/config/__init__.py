"""Configuration of a router and of its optional parts: reading, validation and defaults."""
