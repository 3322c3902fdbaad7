"""The peer channel: frames, byte budget and settings shared by all messages between routers
(docs/channel.md)."""
