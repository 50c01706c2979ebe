import { afterEach, expect, test } from "@jest/globals";
import { callTestGateway } from "./testing/caller.ts";
import { respondCompletely, startTestFleet } from "./testing/fleet.ts";

const closers: (() => unknown)[] = [];

afterEach(() => Promise.all(closers.splice(0).map((close) => close())));

function createAccount(name: string, priority?: number) {
  return { name, apiKeys: [`key-${name}`], allowedRegions: [], priority };
}

async function readPriority(priorities: readonly (number | undefined)[]) {
  const fleet = await startTestFleet([respondCompletely], {
    route: { kind: "idempotent", isResumable: false },
    accounts: priorities.map((priority, index) =>
      createAccount(String(index), priority),
    ),
  });
  closers.push(fleet.close);
  const key = `key-${priorities.length - 1}`;
  await callTestGateway(fleet.gateway.url, { "x-key": key });
  return fleet.endpoints[0]!.requests[0]!["x-priority"];
}

// Guards against endpoints that admit all requests in the order of arrival
// because the entry does not tell them apart.
test("an endpoint is told the urgency of a request", async () => {
  expect(await readPriority([0, 3, 7])).toBe("4");
});

test("no priority is set where the service has a single urgency", async () => {
  expect(await readPriority([undefined, undefined])).toBeUndefined();
});
