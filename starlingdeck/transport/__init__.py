"""Network transport: an HTTP server, a pooled HTTP client and framed links between controllers."""
