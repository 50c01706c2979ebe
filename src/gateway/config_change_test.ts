import { connect } from "node:net";
import { afterEach, expect, test } from "@jest/globals";
import { createConfig } from "../directory/testing/mod.ts";
import { callTestGateway as call } from "./testing/caller.ts";
import {
  createEvent,
  startTestFleet,
  streamAll,
  COMPLETE_STREAM,
} from "./testing/fleet.ts";
import type { RequestHandler } from "./testing/fleet.ts";

const closers: (() => unknown)[] = [];

afterEach(() => Promise.all(closers.splice(0).map((close) => close())));

const wait = (ms: number) => new Promise((resolve) => setTimeout(resolve, ms));

async function start(handler: RequestHandler) {
  const fleet = await startTestFleet([handler]);
  closers.push(fleet.close);
  const { directory } = fleet.gateway.context;
  /** Removes all routes, services, keys and endpoints. */
  const publishEmpty = () =>
    directory.apply(
      [
        {
          type: "config",
          revision: 2,
          config: createConfig({
            version: 2,
            routes: [],
            services: [],
            accounts: [],
          }),
        },
        { type: "endpoint", revision: 2, id: "e0", endpoint: undefined },
      ],
      { revision: 2 },
    );
  return { ...fleet, publishEmpty };
}

// These guard against requests that lose what they use when it goes away with
// a former version of the configuration.

test("a stream in progress is completed when a new configuration has no trace of it", async () => {
  let isInProgress = false;
  const { gateway, publishEmpty } = await start(async (_, response) => {
    isInProgress = true;
    response.writeHead(200, { "content-type": "text/event-stream" });
    response.write(createEvent(1));
    await wait(200);
    response.end([2, 3, 4].map(createEvent).join(""));
  });
  const response = call(gateway.url);
  while (!isInProgress) await wait(5);
  await wait(50);
  publishEmpty();
  expect(await response).toMatchObject({
    body: COMPLETE_STREAM,
    isComplete: true,
  });
});

test("a request whose service goes away while its body is sent is refused", async () => {
  const { gateway, publishEmpty } = await start(streamAll);
  const { hostname, port } = new URL(gateway.url);
  const socket = connect({ host: hostname, port: Number(port) });
  closers.push(() => socket.destroy());
  socket.write(
    "POST /a/1 HTTP/1.1\r\nhost: desk.example\r\nx-key: key-1\r\n" +
      "x-attempt: a1\r\ncontent-length: 4\r\n\r\nbo",
  );
  await wait(100);
  publishEmpty();
  socket.write("dy");
  const [bytes] = await new Promise<[Buffer]>((resolve) =>
    socket.once("data", (data: Buffer) => resolve([data])),
  );
  expect(bytes.toString()).toMatch(/^HTTP\/1.1 503 .*retry-after/is);
});
