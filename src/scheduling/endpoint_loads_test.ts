import { expect, test } from "@jest/globals";
import { createEndpointLoads } from "./mod.ts";
import { createReport } from "./testing/load_report.ts";

const OPTIONS = { usualPromptTokens: 1_000, urgency: 1, slots: 12 };
const FULL = { running: 12, waiting: 6, slots: 12 };

function create(roundTripMs = 0) {
  const time = { ms: 10_000 };
  const link = { roundTripMs };
  const loads = createEndpointLoads(() => time.ms);
  const report = (address: string, running: number, waiting = 0) =>
    loads.onReport(createReport({ address, running, waiting }), {
      roundTripMs: () => link.roundTripMs,
    });
  const send = (urgency: number, promptTokens = 500) =>
    loads.trackRequest("e", { promptTokens, urgency });
  return {
    time,
    link,
    loads,
    report,
    send,
    read: () => loads.read("e", OPTIONS),
  };
}

// Guards against requests to an endpoint that has just stated that it is full.
test("a response head replaces an earlier report, also in its slowdown", () => {
  const { time, loads, report, read } = create();
  report("e", 6);
  time.ms += 100;
  loads.onResponse("e", { ...FULL, slowdown: 2.5 }, time.ms - 500);
  expect(read()).toMatchObject({ requests: 18, slowdown: 2.5 });
});

// Guards against a head that has waited on a full link and hides a later report.
test("a head that was sent before the last report is ignored", () => {
  const { time, link, loads, report, read } = create();
  time.ms += 1_000;
  report("e", 3);
  time.ms += 50;
  link.roundTripMs = 400;
  loads.onResponse("e", FULL, time.ms - 500);
  expect(read().requests).toBe(3);
});

// Guards against all entries sending to the endpoint that had the fewest
// requests in a report which is half a second old.
test("the requests of other entries approach the mean while nothing is heard", () => {
  const { time, report, read } = create();
  ["e", "f", "g"].forEach((address, index) => report(address, 2 + 6 * index));
  expect(read()).toMatchObject({ requests: 2, requestsSpread: 0 });
  time.ms += 600;
  expect(read().requests).toBeGreaterThan(7);
  expect(read().requestsSpread).toBeGreaterThan(2);
});

// Guards against a wait that is forecast for requests which the endpoint admits
// later than the new one.
test("a request waits for more urgent ones and for equal ones, not for others", () => {
  const { time, report, send, loads } = create();
  [0, 0, 1, 2].forEach((urgency) => send(urgency));
  time.ms += 50;
  report("e", 12, 4);
  const ahead = [0, 1, 2].map(
    (urgency) => loads.read("e", { ...OPTIONS, urgency }).requestsAhead,
  );
  expect(ahead[0]).toBe(14);
  expect(ahead[1]).toBeGreaterThan(15);
  expect(ahead[2]).toBeGreaterThan(ahead[1]!);
  expect(loads.read("e", { ...OPTIONS, urgency: 0 }).unreadTokens).toBe(1_000);
});

test("own requests that end while the statement is on its way are not counted again", () => {
  const { time, report, send, read } = create(40);
  const request = send(1);
  time.ms += 200;
  request.end();
  time.ms += 10;
  report("e", 1);
  expect(read().requests).toBe(0);
});
