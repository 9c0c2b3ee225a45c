"""The program ``pomelogladed``."""

from .process_signals import ProcessSignals


def main() -> None:
    """Run ``pomelogladed``."""
    signals = ProcessSignals()
    # These imports take most of a second, in which signals arrive already.
    from .daemon import run
    from .settings import run_with_settings

    run_with_settings(lambda settings: run(settings, signals))


if __name__ == "__main__":
    main()
