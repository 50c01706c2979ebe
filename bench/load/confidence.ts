/** 95% confidence intervals of the mean over independent runs. */

import { computeMean } from "./run_figures.ts";

export interface Estimate {
  readonly mean: number;
  /** Half of the interval's width; undefined for a single run. */
  readonly halfWidth: number | undefined;
}

/** 97.5% quantile of the normal distribution. */
const NORMAL_QUANTILE = 1.959964;

export function estimateMean(values: readonly number[]): Estimate {
  const mean = computeMean(values);
  const freedom = values.length - 1;
  if (freedom < 1) return { mean, halfWidth: undefined };
  const squares = values.reduce((sum, value) => sum + (value - mean) ** 2, 0);
  const standardError = Math.sqrt(squares / freedom / values.length);
  return { mean, halfWidth: computeStudentQuantile(freedom) * standardError };
}

/**
 * 97.5% quantile of Student's distribution, by the Cornish-Fisher expansion:
 * within 0.1% from 5 degrees of freedom on.
 */
export function computeStudentQuantile(freedom: number): number {
  const z = NORMAL_QUANTILE;
  const terms = [
    z,
    (z ** 3 + z) / 4,
    (5 * z ** 5 + 16 * z ** 3 + 3 * z) / 96,
    (3 * z ** 7 + 19 * z ** 5 + 17 * z ** 3 - 15 * z) / 384,
  ];
  return terms.reduce((sum, term, power) => sum + term / freedom ** power, 0);
}
