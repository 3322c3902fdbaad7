"""The core of the router: open requests, their attempts, and the timers of the whole process."""
