import { expect, test } from "@jest/globals";
import { listLateHosts } from "./burst_faults.ts";
import type { PlannedHost } from "./fleet_plan.ts";
import { summariseTimes } from "./replica_times.ts";

const createHosts = (count: number) =>
  Array.from({ length: count }, (_, index) => ({
    name: `host-${index}`,
  })) as unknown as readonly PlannedHost[];

// Guards against a burst report that gives -Infinity as the slowest replica.
test("times of no hosts have no largest value", () => {
  expect(summariseTimes([])).toMatchObject({ all: NaN, missing: 0 });
  expect(summariseTimes([3, 5]).all).toBe(5);
  expect(summariseTimes([3, undefined])).toMatchObject({
    all: NaN,
    missing: 1,
  });
});

// Guards against a fault "late_joiners" that is reported and not injected.
test.each([
  [0, 0],
  [1, 1],
  [2, 1],
  [6, 2],
])("of %d hosts, %d join late", (hosts, late) => {
  expect(listLateHosts("late_joiners", createHosts(hosts))).toHaveLength(late);
  expect(listLateHosts("pause_one", createHosts(hosts))).toHaveLength(0);
});
