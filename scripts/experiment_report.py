"""Tables and plots of what experiments gave."""

from collections.abc import Iterable
from dataclasses import asdict
from pathlib import Path

import matplotlib
import pandas as pd
from scipy import stats

from scripts.experiment import Result

matplotlib.use("Agg")
CONFIDENCE = 0.95
KEY = ["site", "day", "seed"]


def frame(results: Iterable[Result]) -> pd.DataFrame:
    """Return the results as a table with one row a play."""
    rows = []
    for result in results:
        row = asdict(result)
        row |= row.pop("play")
        row["site"] = Path(row["site"]).stem
        row["broken"] = " ".join(row["broken"])
        rows.append(row)
    return pd.DataFrame(rows)


def compare(table: pd.DataFrame, baseline: str) -> pd.DataFrame:
    """Return the mean of each site and variant, and its difference to the baseline.

    The difference is paired: it is taken for each day and seed that both have played.
    ``low`` and ``high`` bound its mean with ``CONFIDENCE``, by Student's t.
    """
    rows = []
    for (site, variant), plays in table.groupby(["site", "variant"], sort=False):
        played = plays.dropna(subset=["worth"])
        base = table[(table.site == site) & (table.variant == baseline)]
        pairs = played.merge(base.dropna(subset=["worth"]), on=KEY)
        difference = pairs.worth_x - pairs.worth_y
        low = high = float("nan")
        if len(difference) > 1 and variant != baseline:
            interval = stats.ttest_1samp(difference, 0.0).confidence_interval(
                CONFIDENCE
            )
            low, high = interval.low, interval.high
        rows.append(
            {
                "site": site,
                "variant": variant,
                "plays": len(played),
                "missing": len(plays) - len(played),
                "worth": played.worth.mean(),
                "spread": played.worth.std(),
                "difference": difference.mean(),
                "low": low,
                "high": high,
                "served": played.served.mean(),
                "refused": played.refused.mean(),
                "failed": played.failed.mean(),
                "windows": played.windows.mean(),
                "prices": played.prices.mean(),
                "broken": int((played.broken != "").sum()),
            }
        )
    return pd.DataFrame(rows).set_index(["site", "variant"])


def plot(comparison: pd.DataFrame, path: Path) -> None:
    """Write the differences with their intervals as a picture."""
    from matplotlib import pyplot

    shown = comparison.dropna(subset=["low"])
    figure, axes = pyplot.subplots(figsize=(8, 1 + 0.4 * len(shown)))
    labels = [f"{variant} ({site})" for site, variant in shown.index]
    errors = [shown.difference - shown.low, shown.high - shown.difference]
    axes.errorbar(shown.difference, labels, xerr=errors, fmt="o", capsize=3)
    axes.axvline(0.0, color="grey", linewidth=1)
    axes.set_xlabel("difference of worth")
    figure.tight_layout()
    figure.savefig(path)
    pyplot.close(figure)
