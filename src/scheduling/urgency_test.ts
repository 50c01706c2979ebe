import { expect, test } from "@jest/globals";
import { createRoute } from "../directory/testing/mod.ts";
import { computeRequestPriority, createUrgencyRanks } from "./urgency.ts";

function createAccount(priority: number | undefined) {
  return { name: `a${priority}`, apiKeys: [], allowedRegions: [], priority };
}

const urgent = createRoute({ name: "urgent", priority: 0 });
const usual = createRoute({ name: "usual", priority: 2 });
const service = urgent.services[0]!.service;

test("routes of one priority and accounts without one have a single rank", () => {
  const ranks = createUrgencyRanks({
    routes: [usual, createRoute({ priority: 2 })],
    accounts: [createAccount(undefined)],
  });
  const found = ranks.find(service, usual, createAccount(undefined));
  expect(found).toEqual({ rank: 0, rankCount: 1 });
});

test("a route's priority does not outweigh that of the account", () => {
  const accounts = [createAccount(0), createAccount(1)];
  const ranks = createUrgencyRanks({ routes: [urgent, usual], accounts });
  const order = [
    ranks.find(service, urgent, accounts[0]),
    ranks.find(service, usual, accounts[0]),
    ranks.find(service, urgent, accounts[1]),
    ranks.find(service, usual, accounts[1]),
  ];
  expect(order.map(({ rank }) => rank)).toEqual([0, 1, 2, 3]);
  expect(order.map(({ rankCount }) => rankCount)).toEqual([4, 4, 4, 4]);
});

test("routes of other services do not add ranks", () => {
  const other = createRoute({
    priority: 7,
    services: [{ service: "other", weight: 1 }],
  });
  const ranks = createUrgencyRanks({ routes: [urgent, usual, other] });
  expect(ranks.find(service, usual, undefined)).toEqual({
    rank: 1,
    rankCount: 2,
  });
});

test("a service or route of another configuration has a single rank", () => {
  const ranks = createUrgencyRanks({ routes: [urgent] });
  const single = { rank: 0, rankCount: 1 };
  expect(ranks.find("unknown", urgent, undefined)).toEqual(single);
  expect(ranks.find(service, usual, undefined)).toEqual(single);
});

function listPriorities(rankCount: number) {
  return Array.from({ length: rankCount }, (_, rank) =>
    [false, true].map((isLate) =>
      computeRequestPriority({ rank, rankCount }, isLate),
    ),
  );
}

test("requests of a service with a single rank have no priority of their own", () => {
  expect(listPriorities(1)).toEqual([[undefined, undefined]]);
});

// Guards against late requests that are admitted before more urgent ones.
test("the priority separates ranks first and then late requests", () => {
  expect(listPriorities(3).flat()).toEqual([0, 1, 2, 3, 4, 5]);
  expect(listPriorities(6).flat()).toEqual([
    0, 0, 1, 1, 2, 3, 4, 5, 6, 7, 8, 9,
  ]);
  expect(listPriorities(9).flat()).toEqual(
    [0, 1, 2, 3, 4, 5, 6, 7].flatMap((value) => [value, value]).concat([8, 9]),
  );
});

test.each([10, 11, 40])("%d ranks stay in order within ten levels", (count) => {
  const values = listPriorities(count).map(([onTime]) => onTime!);
  expect(values).toEqual([...values].sort((a, b) => a - b));
  expect([values[0], values.at(-1)]).toEqual([0, 9]);
});
