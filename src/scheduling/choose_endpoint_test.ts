import { expect, test } from "@jest/globals";
import { createService, ENGINE } from "../directory/testing/mod.ts";
import { chooseEndpoint } from "./mod.ts";
import type { EndpointView } from "./mod.ts";
import { createEndpointView } from "./testing/endpoint_view.ts";
import { createLoad } from "./testing/load_report.ts";

const SERVICE = createService({ engine: ENGINE });

function view(
  id: string,
  fields: Partial<EndpointView> & { readonly requests?: number } = {},
): EndpointView {
  const { requests = 4, ...rest } = fields;
  return createEndpointView(id, { load: createLoad(requests), ...rest });
}

const WITHHELD = { requestLimitPerS: 2, hasPermit: false };

function chooseFrom(views: readonly EndpointView[], timeToObjectiveMs = 500) {
  return chooseEndpoint(views, {
    service: SERVICE,
    promptTokens: 979,
    timeToObjectiveMs,
    timeLeftMs: Math.max(timeToObjectiveMs, 6_000),
    random: () => 0,
  });
}

function choose(views: readonly EndpointView[], timeToObjectiveMs = 500) {
  const choice = chooseFrom(views, timeToObjectiveMs);
  return choice.type === "send" ? choice.view.endpoint.id : choice.reason;
}

const cases = [
  {
    name: "the nearer of two equally loaded endpoints",
    views: [view("far", { distance: "other_region" }), view("near")],
    expected: "near",
  },
  {
    name: "a farther endpoint when the nearer one has one more prompt to process",
    views: [
      view("far", { distance: "other_region" }),
      view("near", {
        load: createLoad(5, { unreadTokens: 979 }),
      }),
    ],
    expected: "far",
  },
  {
    name: "a healthy endpoint rather than one that fails requests",
    views: [
      view("failing", { failureRate: 0.3, requests: 0 }),
      view("healthy"),
    ],
    expected: "healthy",
  },
  {
    name: "an endpoint in backoff rather than none",
    views: [view("in-backoff", { isInBackoff: true })],
    expected: "in-backoff",
  },
  {
    name: "no endpoint that must not get the request",
    views: [view("draining", { isAllowed: false })],
    expected: "no_endpoint",
  },
  {
    name: "an endpoint in backoff rather than one that is leaving",
    views: [
      view("leaving", { isLeaving: true, requests: 0 }),
      view("in-backoff", { isInBackoff: true }),
    ],
    expected: "in-backoff",
  },
  {
    name: "no endpoint that is leaving",
    views: [view("leaving", { isLeaving: true })],
    expected: "endpoints_leaving",
  },
  {
    name: "an endpoint in backoff rather than one that asked for a pause",
    views: [
      view("paused", { pausedMs: 5, requests: 0 }),
      view("in-backoff", { isInBackoff: true }),
    ],
    expected: "in-backoff",
  },
  {
    name: "no endpoint that asked for a pause",
    views: [
      view("paused", { pausedMs: 5 }),
      view("leaving", { isLeaving: true }),
    ],
    expected: "endpoints_paused",
  },
  {
    name: "no endpoint beyond its capacity while another one is paused",
    views: [
      view("paused", { pausedMs: 5, requests: 0 }),
      view("full", { requests: 24 }),
    ],
    expected: "too_busy",
  },
  {
    name: "no cold endpoint beyond its rate limit while another one is paused",
    views: [
      view("paused", { pausedMs: 5, requests: 0 }),
      view("cold", { hasColdCapacity: false }),
    ],
    expected: "cold",
  },
  {
    name: "no cold endpoint beyond this entry's share of its rate limit",
    views: [view("cold", { hasColdCapacity: false })],
    expected: "cold",
  },
  {
    name: "an endpoint in backoff rather than one above its request limit",
    views: [
      view("limited", { ...WITHHELD, requests: 0 }),
      view("in-backoff", { isInBackoff: true }),
    ],
    expected: "in-backoff",
  },
  {
    name: "no endpoint above its request limit",
    views: [view("limited", WITHHELD)],
    expected: "request_limit",
  },
  {
    name: "no endpoint that asked for a pause although its request limit has room",
    views: [view("paused", { requestLimitPerS: 2, pausedMs: 5 })],
    expected: "endpoints_paused",
  },
  {
    name: "no endpoint above its request limit although its pause is over",
    views: [
      view("limited", WITHHELD),
      view("paused", { requestLimitPerS: 2, pausedMs: 5 }),
    ],
    expected: "request_limit",
  },
  {
    name: "no endpoint beyond its capacity while another one is above its request limit",
    views: [
      view("limited", { ...WITHHELD, requests: 0 }),
      view("full", { requests: 24 }),
    ],
    expected: "too_busy",
  },
  {
    name: "an endpoint with enough time left on its weight version rather than one without",
    views: [
      view("expiring", { startWindowMs: 800 }),
      view("later", { startWindowMs: 2_000, requests: 6 }),
    ],
    expected: "later",
  },
  {
    name: "an endpoint in backoff rather than one whose weight version expires",
    views: [
      view("expiring", { startWindowMs: 800 }),
      view("in-backoff", { isInBackoff: true }),
    ],
    expected: "in-backoff",
  },
  {
    name: "no endpoint when none would start the request before its weight version expires",
    views: [view("expiring", { startWindowMs: 800 })],
    expected: "older_version",
  },
  {
    name: "no endpoint when none would respond within the latency objective",
    views: [view("full", { requests: 24 })],
    expected: "too_busy",
  },
];

test.each(cases)("chooses $name", ({ views, expected }) => {
  expect(choose(views)).toBe(expected);
});

// Guards against permits that are asked for by entries which do not use them,
// so that the endpoint gets less than it takes.
test.each([
  {
    what: "it is better than the chosen one",
    requests: 0,
    expected: "limited",
  },
  { what: "the chosen one is better", requests: 8, expected: undefined },
])(
  "an endpoint above its request limit is wanted only if $what",
  ({ requests, expected }) => {
    const limited = view("limited", { ...WITHHELD, requests });
    const choice = chooseFrom([limited, view("chosen")]);
    expect(choice.withheld?.endpoint.id).toBe(expected);
  },
);

test("a rejection above the request limits says when the next request is taken", () => {
  const limited = ["a", "b"].map((id) => view(id, WITHHELD));
  expect(chooseFrom(limited)).toMatchObject({
    reason: "request_limit",
    minRetryAfterMs: 250,
  });
});

function chooseInOrder(shareAhead: number, timeToObjectiveMs: number) {
  const load = createLoad(ENGINE.slots + 8, {
    requestsAhead: ENGINE.slots + 8 * shareAhead,
    unreadTokens: 8 * shareAhead * ENGINE.usualPromptTokens,
  });
  return chooseEndpoint([view("full", { load })], {
    service: SERVICE,
    promptTokens: 787,
    timeToObjectiveMs,
    timeLeftMs: 6_000,
    order: { priority: 0, shareAhead },
    random: () => 0,
  });
}

// Guards against urgent requests that are refused because of less urgent ones,
// which the endpoint would admit after them.
test("a request is admitted by what the endpoint admits before it", () => {
  expect(chooseInOrder(0.05, 402)).toMatchObject({ type: "send", priority: 0 });
  expect(chooseInOrder(0.9, 402)).toMatchObject({ reason: "too_busy" });
  expect(chooseInOrder(1, 1_002)).toMatchObject({ reason: "too_busy" });
});
