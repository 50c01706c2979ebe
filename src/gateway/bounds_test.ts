/** Limits that each entry keeps without communicating with the others. */

import { expect, test } from "@jest/globals";
import fc from "fast-check";
import { createRouteTable, chooseService } from "./route_table.ts";
import { createEventSplitter } from "./event_splitter.ts";
import { createConfig, createRoute } from "../directory/testing/mod.ts";
import {
  ABORT_DELAY_MS,
  computeStartWindowMs,
  createEndpointHealth,
  createEndpointLoads,
  startsInTime,
} from "../scheduling/mod.ts";
import { createReport } from "../scheduling/testing/load_report.ts";

test("no request starts on an older version after its bound", () => {
  const wanted = [
    { model: "m", version: 3, graceStartMs: 12_000 },
    { model: "m", version: 2, graceStartMs: 10_000 },
  ].map((item) => ({ ...item, notBeforeMs: item.graceStartMs }));
  const limits = { oldVersionGraceMs: 8_000, roundTripMs: 0 };
  const at = (served: number, nowMs: number) =>
    startsInTime(computeStartWindowMs(served, wanted, { ...limits, nowMs }), 0);
  expect(at(1, 17_000)).toBe(true);
  expect(at(1, 18_000)).toBe(false);
  expect(at(2, 18_000)).toBe(true);
  expect(at(2, 20_000)).toBe(false);
  expect(at(3, 99_000)).toBe(true);
});

// Guards against requests that start on an older version after its bound. One
// sent 1 s before the bound arrived after it, because it was queued behind
// chunks on the host's link.
test("a long round trip to an endpoint ends its older version sooner", () => {
  const wanted = [
    { model: "m", version: 2, notBeforeMs: 10_000, graceStartMs: 10_000 },
  ];
  const limits = { oldVersionGraceMs: 8_000, roundTripMs: 1_100 };
  const allowedAt = (nowMs: number) =>
    startsInTime(computeStartWindowMs(1, wanted, { ...limits, nowMs }), 0);
  expect(allowedAt(16_100)).toBe(true);
  expect(allowedAt(16_500)).toBe(false);
  const windowMs = computeStartWindowMs(1, wanted, {
    ...limits,
    nowMs: 16_100,
  });
  const timeoutMs = windowMs - ABORT_DELAY_MS;
  // The abort arrives a round trip later, within the bound.
  expect(16_100 + timeoutMs + limits.roundTripMs).toBeLessThan(18_000);
});

// Guards against a full link that counts as free of delay once the reports on
// it are late, and against the delay of a connection that has closed.
test("the round trip is known only while the endpoint's agent is connected", () => {
  let nowMs = 0;
  let isClosed = false;
  const loads = createEndpointLoads(() => nowMs);
  const notice = createReport();
  expect(
    loads.read(notice.address, { usualPromptTokens: 0, urgency: 0 })
      .roundTripMs,
  ).toBe(0);
  loads.onReport(notice, { roundTripMs: () => 700, isClosed: () => isClosed });
  expect(
    loads.read(notice.address, { usualPromptTokens: 0, urgency: 0 })
      .roundTripMs,
  ).toBe(700);
  nowMs += 10_000;
  expect(
    loads.read(notice.address, { usualPromptTokens: 0, urgency: 0 })
      .roundTripMs,
  ).toBe(700);
  expect(loads.readRoundTripMs(notice.address)).toBe(700);
  isClosed = true;
  expect(
    loads.read(notice.address, { usualPromptTokens: 0, urgency: 0 })
      .roundTripMs,
  ).toBe(0);
  expect(loads.readRoundTripMs(notice.address)).toBe(0);
});

test("the backoff of a failing endpoint doubles and is reset by a success", () => {
  let now = 0;
  const health = createEndpointHealth(() => now);
  health.onUnreachable("e");
  expect(health.isInBackoff("e")).toBe(true);
  now += 500;
  expect(health.isInBackoff("e")).toBe(false);
  health.onUnreachable("e");
  now += 500;
  expect(health.isInBackoff("e")).toBe(true);
  now += 500;
  health.onSuccess("e");
  health.onUnreachable("e");
  now += 450;
  expect(health.isInBackoff("e")).toBe(false);
});

test("requests that fail at the same time count as one failure", () => {
  let now = 0;
  const health = createEndpointHealth(() => now);
  Array.from({ length: 20 }).forEach(() => health.onUnreachable("e"));
  now += 450;
  expect(health.isInBackoff("e")).toBe(false);
});

test("the load includes other entries' requests and counts own requests once", () => {
  let now = 0;
  const loads = createEndpointLoads(() => now);
  loads.trackRequest("e", { promptTokens: 500, urgency: 0 });
  now += 100;
  loads.onReport(createReport());
  const later = loads.trackRequest("e", { promptTokens: 700, urgency: 0 });
  expect(loads.read("e", { usualPromptTokens: 900, urgency: 0 }).requests).toBe(
    5,
  );
  expect(
    loads.read("e", { usualPromptTokens: 900, urgency: 0 }).unreadTokens,
  ).toBe(500 + 700);
  later.markStarted();
  expect(
    loads.read("e", { usualPromptTokens: 900, urgency: 0 }).unreadTokens,
  ).toBe(500);
  now += 4_000;
  expect(loads.read("e", { usualPromptTokens: 900, urgency: 0 })).toMatchObject(
    {
      report: undefined,
      requests: 2,
    },
  );
});

// Guards against events that are held back or cut because their lines end with
// CRLF.
test.each(["\n", "\r\n"])(
  "events whose lines end with %j are passed on complete, however the network splits the bytes",
  (newline) => {
    const text = [1, 2, 3]
      .map((id) => [`id: ${id}`, "data: a id: 9", "", ""].join(newline))
      .join("");
    fc.assert(
      fc.property(
        fc.array(fc.integer({ min: 1, max: text.length - 1 }), {
          maxLength: 9,
        }),
        (cuts) => {
          const places = [...new Set([0, ...cuts, text.length])].sort(
            (a, b) => a - b,
          );
          const splitter = createEventSplitter();
          let passed = "";
          const ids: string[] = [];
          places.slice(1).forEach((end, index) => {
            const events = splitter.push(
              Buffer.from(text.slice(places[index], end)),
            );
            passed += events?.bytes.toString() ?? "";
            ids.push(...(events?.ids ?? []));
            const isAtEnd = passed.endsWith(newline + newline);
            expect(isAtEnd || passed === "").toBe(true);
          });
          expect(passed).toBe(text);
          expect(ids).toEqual(["1", "2", "3"]);
          expect(splitter.remainder()).toHaveLength(0);
        },
      ),
    );
  },
);

test("the longest path prefix of the host matches, and weights split a route", () => {
  const split = [
    { service: "a", weight: 90 },
    { service: "b", weight: 10 },
  ];
  const table = createRouteTable(
    createConfig({
      routes: [
        createRoute({ name: "short", pathPrefix: "/a/" }),
        createRoute({ name: "long", pathPrefix: "/a/b/", services: split }),
        createRoute({ name: "other", host: "x", pathPrefix: "/a/b/c/" }),
      ],
    }),
  );
  expect(table.findRoute("desk.example", "/a/b/c/1")?.name).toBe("long");
  expect(table.findRoute("desk.example", "/a/1")?.name).toBe("short");
  expect(table.findRoute("desk.example", "/b/")).toBeUndefined();
  const long = table.findRoute("desk.example", "/a/b/")!;
  expect(chooseService(long, 0.89)).toBe("a");
  expect(chooseService(long, 0.91)).toBe("b");
});
