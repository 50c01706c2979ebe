import { createServer } from "node:http";
import type { Server, ServerResponse } from "node:http";
import type { AddressInfo } from "node:net";
import { afterEach, describe, expect, test } from "@jest/globals";
import { fetchJson } from "./mod.ts";

const servers: Server[] = [];

async function serve(answer: (response: ServerResponse) => void) {
  const server = createServer((_request, response) => answer(response));
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
  // Guards against a status read that never reaches a real process.
  test("gives the parsed answer", async () => {
    const url = await serve((response) => response.end('{"host":"a"}'));
    expect(await fetchJson(url)).toEqual({ host: "a" });
  });

  // Guards against an error page or endless answer taken for a status.
  test.each<readonly [string, (response: ServerResponse) => void, RegExp]>([
    ["another status", (r) => r.writeHead(503).end("{}"), /HTTP status 503/],
    ["text", (r) => r.end("ready"), /JSON/],
    ["a large answer", (r) => r.end("1".repeat(9_000_000)), /exceeds/],
    ["a broken answer", (r) => r.destroy(), /./],
  ])("rejects %s", async (_name, answer, message) => {
    const url = await serve((response) => void answer(response));
    await expect(fetchJson(url)).rejects.toThrow(message);
  });
});
