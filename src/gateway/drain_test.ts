import { afterEach, expect, test } from "@jest/globals";
import { startTestFleet } from "./testing/fleet.ts";
import type { RequestHandler } from "./testing/fleet.ts";
import {
  createRawRequest,
  openRawConnection,
} from "./testing/raw_connection.ts";

const closers: (() => unknown)[] = [];

afterEach(() => Promise.all(closers.splice(0).map((close) => close())));

/** More than the buffers of a connection hold. */
const BODY_BYTES = 8_000_000;

const respondAtLength: RequestHandler = (_, response) =>
  response.end(Buffer.alloc(BODY_BYTES, "x"));

// Guards against answers that are cut when an entry leaves: it closed their
// connections as idle, and exited, while callers were still reading.
test("an entry that leaves waits until a caller has read its answer", async () => {
  const fleet = await startTestFleet([respondAtLength], {
    route: { kind: "idempotent", isResumable: false },
  });
  closers.push(fleet.close);
  const { callerServer, url } = fleet.gateway;
  const connection = await openRawConnection(url);
  closers.push(() => connection.socket.destroy());
  connection.socket.write(createRawRequest("body"));
  await new Promise((resolve) => connection.socket.once("data", resolve));
  connection.socket.pause();
  callerServer.startClosing();
  const drained = callerServer.drain();
  setTimeout(() => connection.socket.resume(), 400);
  await drained;
  callerServer.close();
  await connection.closed;
  expect(connection.received().length).toBeGreaterThan(BODY_BYTES);
});
