import { afterEach, describe, expect, test } from "@jest/globals";
import { startFleet, until } from "./testing/start_fleet.ts";
import type { Fleet, FleetOptions } from "./testing/start_fleet.ts";

const NAMES = ["a", "b", "c", "d", "e", "f"];
let fleet: Fleet | undefined;

afterEach(async () => {
  await fleet?.close();
  fleet = undefined;
});

async function startWith(options: Partial<FleetOptions> = {}) {
  fleet = await startFleet({ names: NAMES, ...options });
  return fleet;
}

function isEverywhere({ nodes }: Fleet, version: number): boolean {
  return nodes.every((node) => node.view.config()?.version === version);
}

describe("configuration in a fleet", () => {
  // Guards against a change that reaches only the watchers.
  test("puts a change in force on every node", async () => {
    const started = await startWith();
    started.platform.publish("one");
    await until(() => isEverywhere(started, 1));
    started.platform.publish("two");
    await until(() => isEverywhere(started, 2), 5_000);
    expect(started.nodes[0]!.view.config()?.document.environment).toBe("two");
  });
});
