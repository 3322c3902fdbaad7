"""Several routers as processes, stand-ins round them, and faults between them (docs/rig.md)."""
