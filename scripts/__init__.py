"""Programs for developers: the demo, load and fuzzing."""
