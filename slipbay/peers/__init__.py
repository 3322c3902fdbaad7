"""The UDP socket on which a router exchanges messages with its peers."""
