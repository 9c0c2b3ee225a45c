"""Orders to engines from one lease holder a zone."""
