"""Several routers as processes, stand-in services around them, and faults between them (docs/rig.md)."""
