"""Programs for developers: demo, load tests, fuzzing and mutation tests."""
