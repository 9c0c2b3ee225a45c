"""Runs every benchmark and checks its bounds."""

import sys

from bench import budget_bench, claims_bench, membership_bench, placement_bench

BENCHES = (budget_bench, placement_bench, claims_bench, membership_bench)


def main() -> int:
    """Print the table of each benchmark; return how many bounds were violated."""
    violated_by_name = {}
    for bench in BENCHES:
        name = bench.__name__.rpartition(".")[2]
        sys.stdout.write(f"\n== {name}\n")
        violated_by_name[name] = bench.main()
    for name, violated in violated_by_name.items():
        sys.stdout.write(f"{name}: {violated} bounds violated\n")
    return sum(violated_by_name.values())


if __name__ == "__main__":
    sys.exit(1 if main() else 0)
