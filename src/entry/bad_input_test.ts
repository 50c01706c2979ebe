import { connect } from "node:net";
import { text } from "node:stream/consumers";
import { afterEach, describe, expect, test } from "@jest/globals";
import { createKey } from "../idempotency/mod.ts";
import {
  answerJson,
  createDocument,
  createTestFleet,
} from "./testing/fake_fleet.ts";
import type { TestFleet, TestFleetOptions } from "./testing/fake_fleet.ts";

const BOOKING = "/services/booking/bookings";

let fleet: TestFleet | undefined;
afterEach(() => fleet?.close());

async function startFleet(options: TestFleetOptions = {}): Promise<TestFleet> {
  fleet = await createTestFleet({
    agents: [{ host: "a", behaviour: answerJson("ok") }],
    ...options,
  });
  return fleet;
}

interface Case {
  /** "/v1/completions" by default. */
  readonly path?: string;
  readonly body?: unknown;
  readonly headers?: Record<string, string>;
  /** Status and code. */
  readonly expected: readonly [number, string];
  readonly message: string;
}

const CASES: readonly Case[] = [
  {
    body: { model: "x", prompt: "p" },
    expected: [404, "unknown_model"],
    message: 'No service offers the model "x"',
  },
  {
    body: { model: "m", prompt: "p".repeat(200_000) },
    expected: [413, "body_too_large"],
    message: "The request body is too large",
  },
  {
    body: '{"model": "m"',
    expected: [400, "bad_request"],
    message: "The body is not valid JSON",
  },
  {
    body: "[]",
    expected: [400, "bad_request"],
    message: "The body is not a JSON object",
  },
  {
    path: "/v1/chat/completions",
    body: { model: "m", messages: [{ content: "no role" }] },
    expected: [400, "bad_request"],
    message: "The field `messages.0.role` is missing or of the wrong type",
  },
  {
    path: "/v1/chat/completions",
    body: { model: "m" },
    expected: [400, "bad_request"],
    message: "The body has no `messages`",
  },
  {
    body: {},
    headers: { authorization: "Bearer wrong" },
    expected: [401, "unknown_account"],
    message: "No client account has the API key of this request",
  },
  {
    path: "/services/x/bookings",
    expected: [404, "unknown_service"],
    message: 'There is no service "x"',
  },
  {
    path: "/services/booking/other",
    expected: [404, "unknown_service"],
    message: "Service booking has no route for POST /other",
  },
  {
    path: "/services/booking/x%2fbookings",
    expected: [400, "bad_request"],
    message: "The path has empty, relative or encoded segments",
  },
  {
    path: "/services/booking//bookings",
    expected: [400, "bad_request"],
    message: "The path has empty, relative or encoded segments",
  },
  {
    path: "/v2/completions",
    expected: [404, "unknown_service"],
    message: "There is no such path",
  },
  {
    path: BOOKING,
    expected: [400, "key_required"],
    message: "This route needs the header Idempotency-Key",
  },
  {
    path: BOOKING,
    headers: { "idempotency-key": "7d444840-9dc0-41d1-b245-5ffdce74fad2" },
    expected: [400, "key_not_time_ordered"],
    message: "The idempotency key is not a UUIDv7",
  },
  {
    path: BOOKING,
    headers: { "idempotency-key": createKey(Date.now() + 3_600_000) },
    expected: [400, "key_not_time_ordered"],
    message: "The idempotency key's time is in the future",
  },
];

describe("invalid input", () => {
  // Guards against invalid input that reaches an endpoint, and against refusals
  // with the wrong status, code or message.
  test.each(CASES)("is refused: $message", async (input) => {
    const { path = "/v1/completions", body = "", headers, message } = input;
    const [status, code] = input.expected;
    const { post, counter, agents } = await startFleet({
      settings: { maxBodyBytes: 100_000 },
    });
    const response = await post(path, body, headers);
    expect(response.status).toBe(status);
    expect(response.headers.get("zinniaspur-outcome")).toBe("not_run");
    const error = { code, message, outcome: "not_run", retry_after_ms: null };
    expect(await response.json()).toMatchObject({ error });
    expect(counter("refusals_total", { reason: code })).toBe(1);
    expect(agents[0]!.requests).toEqual([]);
  });

  const RAW: readonly { name: string; bytes: string; expected: string[] }[] = [
    {
      name: "a body that arrives too slowly",
      bytes:
        "POST /v1/completions HTTP/1.1\r\nHost: x\r\n" +
        "Authorization: Bearer key-of-a\r\nContent-Length: 9\r\n\r\n{",
      expected: ["HTTP/1.1 408", '"code":"slow_request"'],
    },
    {
      name: "headers that arrive too slowly",
      bytes: "POST /v1/completions HTTP/1.1\r\nHost:",
      expected: ["HTTP/1.1 408", '"code":"slow_request"'],
    },
    {
      name: "a chunked body that is too large",
      bytes:
        "POST /v1/completions HTTP/1.1\r\nHost: x\r\n" +
        "Authorization: Bearer key-of-a\r\nTransfer-Encoding: chunked\r\n\r\n" +
        `c8\r\n${"p".repeat(200)}\r\n`,
      expected: ["HTTP/1.1 413", '"code":"body_too_large"'],
    },
    {
      name: "bytes that are not HTTP",
      bytes: "hello\r\n\r\n",
      expected: ["HTTP/1.1 400", '"code":"bad_request"'],
    },
  ];

  test.each(RAW)("refuses $name", async ({ bytes, expected }) => {
    const { url } = await startFleet({
      settings: { maxBodyBytes: 100, bodyTimeoutMs: 200 },
    });
    const { hostname, port } = new URL(url);
    const socket = connect({ host: hostname, port: Number(port) });
    socket.write(bytes);
    const answer = await text(socket);
    socket.destroy();
    expected.forEach((part) => expect(answer).toContain(part));
    expect(answer).toContain('"outcome":"not_run"');
  });

  // Guards against an account that exceeds its rate limit because each entry
  // allows the whole rate.
  test("refuses above this entry's share of the account's rate limit", async () => {
    const { post, view, notifyViewChange } = await startFleet();
    const document = createDocument();
    const [account] = document.clientAccounts;
    view.document = {
      ...document,
      clientAccounts: [{ ...account!, requestsPerS: 0.2 }],
    };
    view.hosts = ["entry-1", "entry-2"].map((name) => ({
      name,
      role: "entry",
      dataCentre: "d1",
      peerAddress: "127.0.0.1:1",
      state: "live",
    }));
    notifyViewChange();
    const request = { model: "m", prompt: "p" };
    expect((await post("/v1/completions", request)).status).toBe(200);
    const refused = await post("/v1/completions", request);
    expect(refused.status).toBe(429);
    const retryAfterS = Number(refused.headers.get("retry-after"));
    const { error } = (await refused.json()) as {
      error: { retry_after_ms: number };
    };
    expect(retryAfterS).toBe(10);
    expect(error.retry_after_ms).toBeGreaterThan(9_000);
  });

  // Guards against requests that are accepted before there is a configuration.
  test("is not ready without a configuration", async () => {
    const { post, view, url } = await startFleet();
    view.document = undefined;
    const response = await post("/v1/completions", {});
    expect(response.status).toBe(503);
    expect(await response.json()).toMatchObject({
      error: { code: "no_configuration", outcome: "not_run" },
    });
    expect((await fetch(`${url}/readyz`)).status).toBe(503);
    expect((await fetch(`${url}/healthz`)).status).toBe(200);
  });
});

describe("request that crashes endpoints", () => {
  // Guards against a request that crashes one endpoint after another because
  // its caller sends it again.
  test("is refused after crashes of two endpoints", async () => {
    const { post, agents } = await startFleet({
      agents: ["a", "b"].map((host) => ({
        host,
        behaviour: answerJson("ok"),
      })),
    });
    const request = { model: "m", prompt: "p" };
    await post("/v1/completions", request);
    const { fingerprint } = agents[0]!.requests[0]!.head;
    const crash = { topic: "crash" as const, fingerprint };
    const expiresAtMs = Date.now() + 60_000;
    agents[0]!.notify({ ...crash, endpoint: "a", expiresAtMs });
    agents[0]!.notify({ ...crash, endpoint: "a", expiresAtMs });
    await agents[1]!.waitForNotices(1);
    expect((await post("/v1/completions", request)).status).toBe(200);
    agents[0]!.notify({ ...crash, endpoint: "b", expiresAtMs });
    await agents[1]!.waitForNotices(2);
    const refused = await post("/v1/completions", request);
    expect(refused.status).toBe(503);
    expect(Number(refused.headers.get("retry-after"))).toBeGreaterThan(50);
    const other = { ...request, prompt: "q" };
    expect((await post("/v1/completions", other)).status).toBe(200);
    expect(agents[0]!.notices).toEqual([]);
    expect(agents[1]!.notices).toHaveLength(2);
  });
});
