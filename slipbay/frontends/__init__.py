"""Client protocols: accept connections, parse requests, pass them to the dispatcher and write the answers."""
