"""HTTP gateway that forwards requests to backend servers by route."""
