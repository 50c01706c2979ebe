import { describe, expect, test } from "@jest/globals";
import { fitLine } from "./fit_line.ts";

describe("fitLine", () => {
  // Guards against capacity figures extrapolated from a wrong slope.
  test("finds the line that the points lie on", () => {
    const points = [1, 2, 5].map((x) => ({ x, y: 3 * x + 2 }));
    const line = fitLine(points);
    expect(line.slope).toBeCloseTo(3);
    expect(line.intercept).toBeCloseTo(2);
    expect(line.r2).toBeCloseTo(1);
  });
});
