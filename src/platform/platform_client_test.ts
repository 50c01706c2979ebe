import { createServer } from "node:http";
import type { RequestListener } from "node:http";
import type { AddressInfo } from "node:net";
import { afterEach, describe, expect, test } from "@jest/globals";
import { createRegistry } from "../metrics/mod.ts";
import { createPlatformClient } from "./mod.ts";

const closers: (() => unknown)[] = [];
afterEach(async () => {
  await Promise.all(closers.splice(0).map((close) => close()));
});

async function createClient(respond: RequestListener) {
  const server = createServer(respond);
  await new Promise<void>((resolve) =>
    server.listen(0, "127.0.0.1", () => resolve()),
  );
  const { port } = server.address() as AddressInfo;
  const registry = createRegistry();
  const platformUrl = `http://127.0.0.1:${port}`;
  const client = createPlatformClient({ platformUrl, registry });
  closers.push(async () => {
    await client.close();
    server.close();
    server.closeAllConnections();
  });
  return { client, registry };
}

describe("platform client", () => {
  // Guards against a failure that stops the reader or is counted under another
  // reason.
  test.each<{ reason: string; respond: RequestListener }>([
    {
      reason: "status",
      respond: (_, response) => response.writeHead(500).end(),
    },
    { reason: "malformed", respond: (_, response) => response.end("<html>") },
    {
      reason: "malformed",
      respond: (_, response) => response.end('{"version": "1"}'),
    },
    {
      reason: "too_large",
      respond: (_, response) => response.end("x".repeat(5_000_000)),
    },
    { reason: "connection", respond: (request) => request.socket.destroy() },
    { reason: "timeout", respond: () => undefined },
  ])("counts a failure with reason $reason", async ({ reason, respond }) => {
    const { client, registry } = await createClient(respond);
    const result = await client.readConfig({ after: 0, waitMs: 0 });
    expect(result._unsafeUnwrapErr()).toBe(reason);
    const failures = registry.counter("platform_read_failures_total", "");
    expect(failures.read({ topic: "config", reason })).toBe(1);
  });

  // Guards against processes that read different bytes for the same host list.
  test("returns equal bytes for equal host lists", async () => {
    const bodies = [
      '{"sequence": 3, "hosts": [{"name": "b", "role": "entry"}, {"name": "a"}]}',
      '{"hosts": [{"name": "a"}, {"role": "entry", "name": "b"}], "sequence": 3}',
    ];
    const { client } = await createClient((_, response) =>
      response.end(bodies.shift()),
    );
    const first = await client.readHosts({ after: 0, waitMs: 0 });
    const second = await client.readHosts({ after: 0, waitMs: 0 });
    expect(first._unsafeUnwrap()).toEqual(second._unsafeUnwrap());
  });

  // Guards against a stale platform whose 204 is taken for a confirmation.
  test.each([
    ["7", 7],
    ["0", 0],
    ["-7", undefined],
    ["7, 8", undefined],
    ["", undefined],
  ])("reads the version of a 204 from header %p", async (header, version) => {
    const { client } = await createClient((_, response) =>
      response
        .writeHead(204, { "config-version": header, "hosts-sequence": header })
        .end(),
    );
    const results = await Promise.all(
      [client.readConfig, client.readHosts].map((read) =>
        read({ after: 7, waitMs: 0 }),
      ),
    );
    results.forEach((result) =>
      expect(result._unsafeUnwrap()).toEqual({ type: "unchanged", version }),
    );
  });

  // Guards against a watch whose query lacks the version or the wait.
  test("sends the given version and wait, and treats 204 as unchanged", async () => {
    const urls: (string | undefined)[] = [];
    const { client } = await createClient((request, response) => {
      urls.push(request.url);
      response.writeHead(204).end();
    });
    const result = await client.readConfig({ after: 7, waitMs: 50 });
    expect(result._unsafeUnwrap()).toEqual({ type: "unchanged" });
    expect(urls).toEqual(["/v1/config?after=7&wait_ms=50"]);
  });
});
