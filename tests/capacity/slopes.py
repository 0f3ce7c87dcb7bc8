"""How a figure grows with a size: its slope, and whether it is straight, logarithmic or worse.

Source of the fits: ordinary least squares of y = a + b f(x). Pure.
"""

import math
from dataclasses import dataclass
from enum import Enum

# A shape is told from "flat" only where the fitted figure grows by this part over the measured range.
LEAST_GROWTH = 0.15
# A shape explains the figures when the squares left over are below this part of their spread.
EXPLAINED = 0.02


class Shape(Enum):
    """How a figure grows."""

    FLAT = "flat"
    LOGARITHMIC = "logarithmic"
    STRAIGHT = "straight"
    QUADRATIC = "quadratic"
    UNCLEAR = "unclear"


@dataclass
class Fit:
    """y = intercept + slope * f(x); `left_over` is the part of the spread that it does not explain."""

    intercept: float
    slope: float
    left_over: float


FUNCTIONS = {
    Shape.LOGARITHMIC: math.log,
    Shape.STRAIGHT: float,
    Shape.QUADRATIC: lambda x: float(x) * x,
}


def fit(points, function=float):
    """The line through `points`, pairs of a size and a figure, over `function` of the size."""
    xs = [function(x) for x, _ in points]
    ys = [y for _, y in points]
    mean_x = sum(xs) / len(xs)
    mean_y = sum(ys) / len(ys)
    spread_x = sum((x - mean_x) ** 2 for x in xs)
    spread_y = sum((y - mean_y) ** 2 for y in ys)
    if spread_x == 0:
        return Fit(mean_y, 0.0, 1.0)
    slope = sum((x - mean_x) * (y - mean_y) for x, y in zip(xs, ys)) / spread_x
    intercept = mean_y - slope * mean_x
    left = sum((y - intercept - slope * x) ** 2 for x, y in zip(xs, ys))
    return Fit(intercept, slope, left / spread_y if spread_y else 0.0)


def shape_of(points):
    """The shape that explains the points best; flat where they hardly differ, unclear where none does."""
    figures = [y for _, y in points]
    largest = max(abs(y) for y in figures)
    if largest == 0 or (max(figures) - min(figures)) / largest < LEAST_GROWTH:
        return Shape.FLAT
    fits = {shape: fit(points, function) for shape, function in FUNCTIONS.items()}
    best = min(fits, key=lambda shape: fits[shape].left_over)
    return best if fits[best].left_over < EXPLAINED else Shape.UNCLEAR


def describe(points):
    """The straight slope, the shape and the spread of repeats, as they go into a result."""
    line = fit(points)
    by_size = {}
    for x, y in points:
        by_size.setdefault(x, []).append(y)
    spread = max((max(ys) - min(ys)) / max(abs(max(ys, key=abs)), 1e-12) for ys in by_size.values())
    return {
        "shape": shape_of(points).value,
        "slope": float(f"{line.slope:.4g}"),
        "at_zero": float(f"{line.intercept:.4g}"),
        "not_explained_by_straight": round(line.left_over, 4),
        "most_spread_of_repeats": round(spread, 3),
        "points": len(by_size),
    }
