"""The program ``pomelogladed``."""

from .process_signals import ProcessSignals
from .standard_streams import open_missing_streams


def main() -> None:
    """Run ``pomelogladed``."""
    open_missing_streams()
    signals = ProcessSignals()
    # These imports take most of a second, in which signals arrive already.
    from .daemon import run
    from .settings import run_with_settings

    run_with_settings(lambda settings: run(settings, signals))


if __name__ == "__main__":
    main()
