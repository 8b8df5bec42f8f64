"""Routes callers' HTTP requests to backend servers by declared routes."""
