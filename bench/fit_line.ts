/** Least-squares line through measured points. */

export interface Point {
  readonly x: number;
  readonly y: number;
}

export interface Line {
  readonly slope: number;
  readonly intercept: number;
  /** Coefficient of determination; 1 means a perfect fit. */
  readonly r2: number;
}

export function fitLine(points: readonly Point[]): Line {
  const n = points.length;
  const sum = (pick: (point: Point) => number) =>
    points.reduce((total, point) => total + pick(point), 0);
  const meanX = sum((p) => p.x) / n;
  const meanY = sum((p) => p.y) / n;
  const sxx = sum((p) => (p.x - meanX) ** 2);
  const sxy = sum((p) => (p.x - meanX) * (p.y - meanY));
  const syy = sum((p) => (p.y - meanY) ** 2);
  const slope = sxx === 0 ? 0 : sxy / sxx;
  const intercept = meanY - slope * meanX;
  const r2 = sxx === 0 || syy === 0 ? 1 : sxy ** 2 / (sxx * syy);
  return { slope, intercept, r2 };
}
