/** Faulty endpoints that write a response once more on a kept connection. */

import { afterEach, expect, test } from "@jest/globals";
import type { CallRoute } from "../directory/mod.ts";
import { callTestGateway } from "./testing/caller.ts";
import { startTestGateway } from "./testing/mod.ts";
import { startRawEndpoint } from "./testing/raw_endpoint.ts";
import type { RawRequest } from "./testing/raw_endpoint.ts";

const closers: (() => unknown)[] = [];

afterEach(() => Promise.all(closers.splice(0).map((close) => close())));

const ROUTES: Readonly<Record<string, Partial<CallRoute>>> = {
  "an idempotent request": { kind: "idempotent", isResumable: false },
  "a non-idempotent request": { kind: "non_idempotent", isResumable: false },
  "a stream": { kind: "stream", isResumable: false },
  "a resumable stream": { kind: "stream", isResumable: true },
};
const ONCE_ONLY: ReadonlySet<string> = new Set([
  "a non-idempotent request",
  "a stream",
]);
/** Statuses which state that the request has not run and never will. */
const NOT_RUN_STATUSES: ReadonlySet<number> = new Set([408, 421, 429, 503]);
const BODY = "id: 1\ndata: t1\n\n";

function createResponse(
  statusLine: string,
  {
    attemptId,
    body = "",
  }: { readonly attemptId?: string; readonly body?: string },
) {
  const idLine = attemptId === undefined ? "" : `x-attempt: ${attemptId}\r\n`;
  return `HTTP/1.1 ${statusLine}\r\n${idLine}content-length: ${body.length}\r\n\r\n${body}`;
}

const NOT_RUN = "503 Full\r\nx-not-run: 1";
const REPEATED: Readonly<Record<string, string>> = {
  "503 with another id": createResponse(NOT_RUN, { attemptId: "a0" }),
  "503 without an id": createResponse(NOT_RUN, {}),
  "421 without an id": createResponse("421 Other", {}),
  "200 without an id": createResponse("200 OK", { body: "id: 9\ndata: x\n\n" }),
};
const TIMINGS = ["after a response", "on an idle connection", "as a response"];

async function startFleet(
  handlers: readonly ((request: RawRequest) => void)[],
  route: Partial<CallRoute>,
) {
  const endpoints = await Promise.all(handlers.map(startRawEndpoint));
  const gateway = await startTestGateway({ endpoints, route, retries: 1_000 });
  closers.push(gateway.close, ...endpoints.map(({ close }) => close));
  return {
    gateway,
    endpoints,
    countRequests: () => endpoints.flatMap(({ requests }) => requests).length,
  };
}

const cases = Object.keys(ROUTES).flatMap((route) =>
  Object.keys(REPEATED).flatMap((repeated) =>
    TIMINGS.flatMap((timing) =>
      ["with an id", "without an id"].map((id) => ({
        route,
        repeated,
        timing,
        id,
      })),
    ),
  ),
);

// Guards against an earlier response that is taken for the one to this request.
// After a refusal the caller would be told that its request did not run, or the
// request would run twice.
test.each(cases)(
  "a $repeated, written once more $timing, is not believed for $route $id",
  async ({ route, repeated, timing, id }) => {
    const repeatedBytes = REPEATED[repeated]!;
    const attemptId = id === "with an id" ? "a1" : undefined;
    const response = createResponse("200 OK", {
      ...(attemptId !== undefined && { attemptId }),
      body: BODY,
    });
    function respondFaultily({ socket, earlierRequests }: RawRequest) {
      if (timing === "as a response" && earlierRequests > 0) {
        return socket.write(repeatedBytes);
      }
      socket.write(response);
      if (timing === "after a response") socket.write(repeatedBytes);
      else if (timing === "on an idle connection") {
        setTimeout(() => socket.write(repeatedBytes), 10);
      }
    }
    const { gateway, countRequests } = await startFleet(
      [respondFaultily, ({ socket }) => socket.write(response)],
      ROUTES[route]!,
    );
    await callTestGateway(gateway.url, { "x-attempt": attemptId ?? "" });
    await new Promise((resolve) => setTimeout(resolve, 20));
    const before = countRequests();
    const { status, body } = await callTestGateway(gateway.url, {
      "x-attempt": attemptId ?? "",
    });
    if (ONCE_ONLY.has(route)) expect(countRequests() - before).toBe(1);
    expect(NOT_RUN_STATUSES).not.toContain(status);
    if (status === 200) expect(body).toBe(BODY);
  },
);

// A refusal that is written once more would bear the id of the refused attempt.
test("a connection that carried a refusal is not used again", async () => {
  const refusal = createResponse(NOT_RUN, { attemptId: "a1" });
  const response = createResponse("200 OK", { attemptId: "a1", body: BODY });
  const { gateway, endpoints } = await startFleet(
    [
      ({ socket }) => socket.write(refusal),
      ({ socket }) => socket.write(response),
    ],
    ROUTES["a stream"]!,
  );
  const first = await callTestGateway(gateway.url);
  const second = await callTestGateway(gateway.url);
  expect([first.status, second.status]).toEqual([200, 200]);
  expect(
    endpoints[0]!.requests.map(({ earlierRequests }) => earlierRequests),
  ).toEqual([0, 0]);
});
