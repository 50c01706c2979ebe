import { afterEach, expect, test } from "@jest/globals";
import { startTestFleet } from "./testing/fleet.ts";
import type { RequestHandler } from "./testing/fleet.ts";
import { openRawConnection } from "./testing/raw_connection.ts";

const closers: (() => unknown)[] = [];

afterEach(() => Promise.all(closers.splice(0).map((close) => close())));

const wait = (ms: number) => new Promise((resolve) => setTimeout(resolve, ms));

const respondSlowly: RequestHandler = (_, response) => {
  setTimeout(() => response.end("whole"), 600);
};

function createRequest(id: string, remainingMs: number) {
  return `GET /a/${id} HTTP/1.1\r\nhost: desk.example\r\nx-attempt: a1\r\nx-key: key-1\r\nx-left: ${remainingMs}\r\n\r\n`;
}

// Guards against a request that runs although its deadline passed while it
// waited for the response ahead of it on its connection.
test("a request that expires behind another response is not sent to an endpoint", async () => {
  const fleet = await startTestFleet([respondSlowly], {
    route: { kind: "idempotent", isResumable: false, maxAttempts: 1 },
  });
  closers.push(fleet.close);
  const connection = await openRawConnection(fleet.gateway.url);
  closers.push(() => connection.socket.destroy());
  connection.socket.write(createRequest("first", 5_000));
  await wait(50);
  connection.socket.write(createRequest("second", 200));
  await wait(900);
  expect(fleet.endpoints[0]!.requests).toHaveLength(1);
});

// Guards against work that goes on for a caller that has left while its request
// waited behind another one.
test("a request whose caller leaves while it waits is not sent to an endpoint", async () => {
  const fleet = await startTestFleet([respondSlowly], {
    route: { kind: "idempotent", isResumable: false, maxAttempts: 1 },
  });
  closers.push(fleet.close);
  const connection = await openRawConnection(fleet.gateway.url);
  connection.socket.write(createRequest("first", 5_000));
  await wait(50);
  connection.socket.write(createRequest("second", 5_000));
  await wait(50);
  connection.socket.end();
  await wait(900);
  expect(fleet.endpoints[0]!.requests).toHaveLength(1);
});
