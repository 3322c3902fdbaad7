"""Decentralized membership of the fleet: the SWIM protocol with Lifeguard (docs/fleet-view.md)."""
