"""Discovery of engines: the endpoint list and the watch on its changes."""
