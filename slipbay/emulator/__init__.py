"""What slipbay balances, in simulated time: many decision modules before model engines. No sockets."""
