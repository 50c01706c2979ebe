import { expect, test } from "@jest/globals";
import { computeStudentQuantile, estimateMean } from "./confidence.ts";
import { POLICIES } from "./compare_policies.ts";
import { DEPLOYMENTS, scaleDeployment } from "./deployments.ts";
import { drawRequests } from "./draw_requests.ts";
import { PATTERNS } from "./patterns.ts";
import { computeFigures } from "./run_figures.ts";
import { runPattern } from "./run_pattern.ts";

const DEPLOYMENT = scaleDeployment(DEPLOYMENTS[0]!, 3);

function run(policy: string, patternName: string, seed = 1) {
  const pattern = PATTERNS.find(({ name }) => name === patternName)!;
  const createPolicy = POLICIES[policy];
  return runPattern({ deployment: DEPLOYMENT, pattern, seed, createPolicy });
}

function measure(policy: string, pattern: string) {
  return computeFigures(run(policy, pattern));
}

test("a seed gives the same run again", () => {
  const first = run("current", "burst-both");
  const second = run("current", "burst-both");
  expect(second.calls).toEqual(first.calls);
  expect(run("current", "burst-both", 2).calls).not.toEqual(first.calls);
});

// Guards against calls that are lost or counted twice, which change all shares.
test.each(Object.keys(POLICIES))(
  "%s ends each measured call once",
  (policy) => {
    const pattern = PATTERNS.find(({ name }) => name === "returning")!;
    const measured = drawRequests(DEPLOYMENT, pattern, 1).filter(
      ({ atMs }) => atMs >= 2_000,
    );
    const ended = run(policy, "returning").calls.map(({ request }) => request);
    expect(ended).toHaveLength(measured.length);
    expect(new Set(ended).size).toBe(ended.length);
  },
);

// Guards against a reference that an entry could exceed.
test.each(PATTERNS.map(({ name }) => name))(
  "no policy earns more than the upper bound: %s",
  (pattern) => {
    const bound = measure("bound", pattern).worth;
    expect(measure("current", pattern).worth).toBeLessThan(bound + 0.01);
    expect(measure("former", pattern).worth).toBeLessThan(bound + 0.01);
  },
);

test("intervals are as wide as Student's distribution demands", () => {
  expect(computeStudentQuantile(29)).toBeCloseTo(2.045, 3);
  expect(computeStudentQuantile(5)).toBeCloseTo(2.571, 2);
  const { mean, halfWidth } = estimateMean([1, 2, 3, 4, 5, 6]);
  expect(mean).toBe(3.5);
  expect(halfWidth).toBeCloseTo(1.963, 2);
});
