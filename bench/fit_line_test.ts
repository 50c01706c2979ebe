import { describe, expect, test } from "@jest/globals";
import { fitLine } from "./fit_line.ts";

describe("fitLine", () => {
  // A wrong slope would falsify the capacity figures extrapolated from it.
  test("returns slope, intercept and r2 of points on one line", () => {
    const points = [1, 2, 5].map((x) => ({ x, y: 3 * x + 2 }));
    const line = fitLine(points);
    expect(line.slope).toBeCloseTo(3);
    expect(line.intercept).toBeCloseTo(2);
    expect(line.r2).toBeCloseTo(1);
  });
});
