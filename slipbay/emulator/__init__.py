"""Models of routers, engines, clients and the network in simulated time. They open no sockets."""
