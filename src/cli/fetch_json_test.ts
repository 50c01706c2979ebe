import { createServer } from "node:http";
import type { Server, ServerResponse } from "node:http";
import type { AddressInfo } from "node:net";
import { afterEach, describe, expect, test } from "@jest/globals";
import { fetchJson } from "./mod.ts";

const servers: Server[] = [];

async function serve(respond: (response: ServerResponse) => void) {
  const server = createServer((_request, response) => respond(response));
  servers.push(server);
  await new Promise<void>((resolve) =>
    server.listen(0, "127.0.0.1", () => resolve()),
  );
  const { port } = server.address() as AddressInfo;
  return `http://127.0.0.1:${port}/status`;
}

afterEach(() => {
  servers.splice(0).forEach((server) => {
    server.closeAllConnections();
    server.close();
  });
});

describe("fetchJson", () => {
  // Guards against a client that works only with the stubs of other tests.
  test("returns the parsed response", async () => {
    const url = await serve((response) => response.end('{"host":"a"}'));
    expect(await fetchJson(url)).toEqual({ host: "a" });
  });

  // Guards against treating an error page as a status, and against reading an
  // endless response.
  test.each<readonly [string, (response: ServerResponse) => void, RegExp]>([
    ["another status", (r) => r.writeHead(503).end("{}"), /HTTP status 503/],
    ["plain text", (r) => r.end("ready"), /JSON/],
    ["a large response", (r) => r.end("1".repeat(9_000_000)), /exceeds/],
    ["a broken response", (r) => r.destroy(), /./],
  ])("rejects %s", async (_name, respond, message) => {
    const url = await serve((response) => void respond(response));
    await expect(fetchJson(url)).rejects.toThrow(message);
  });
});
