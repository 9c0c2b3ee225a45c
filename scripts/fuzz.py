"""Runs the stateful tests in rounds, each with a random seed that is printed."""

import random
import subprocess
import sys

LARGEST_SEED = 2**32
ROUNDS = 5


def run_round(seed: int) -> int:
    """Run every stateful test with one seed; return pytest's exit code."""
    sys.stdout.write(f"seed {seed}; again with: make fuzz SEED={seed}\n")
    sys.stdout.flush()
    command = [sys.executable, "-m", "pytest", "tests", "-k", "stateful"]
    options = [f"--hypothesis-seed={seed}", "--hypothesis-profile=fuzz"]
    return subprocess.run([*command, *options], check=False).returncode


def main() -> int:
    """Run the given seed, or up to ``ROUNDS`` random ones until one fails."""
    if sys.argv[1:]:
        return run_round(int(sys.argv[1]))
    source = random.SystemRandom()
    for _ in range(ROUNDS):
        code = run_round(source.randrange(LARGEST_SEED))
        if code:
            return code
    return 0


if __name__ == "__main__":
    sys.exit(main())
