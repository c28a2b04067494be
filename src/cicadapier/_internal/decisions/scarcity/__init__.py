"""Order and refusal of requests while the engines have no room for all of them."""
