"""Token buckets in exact integer arithmetic."""
