/** Serves the platform's HTTP interface with values set by a test. */

import { createServer } from "node:http";
import type { IncomingMessage, ServerResponse } from "node:http";
import type { AddressInfo } from "node:net";
import type { Host } from "../../membership/mod.ts";

/** How requests are handled; `stale` returns the value held, however old. */
export type PlatformMode = "up" | "error" | "stalled" | "stale";

export interface FakePlatform {
  readonly url: string;
  publish(text: string): number;
  /** Publishes under the given version, even if it is not newer. */
  publishAs(version: number, text: string): void;
  setHosts(hosts: readonly Host[]): void;
  setMode(mode: PlatformMode): void;
  countReads(): number;
  close(): Promise<void>;
}

type Topic = "config" | "hosts";

interface StoredValue {
  readonly version: number;
  readonly body: string;
}

interface WatchRequest {
  readonly topic: Topic;
  readonly after: number;
  readonly waitMs: number;
  readonly response: ServerResponse;
}

export async function startFakePlatform(): Promise<FakePlatform> {
  const stored: Record<Topic, StoredValue> = {
    config: { version: 0, body: "" },
    hosts: { version: 0, body: "" },
  };
  let mode: PlatformMode = "up";
  let reads = 0;
  const watches = new Set<() => void>();

  function storeValue(topic: Topic, version: number, body: object) {
    stored[topic] = { version, body: JSON.stringify(body) };
    [...watches].forEach((wake) => wake());
  }

  function publishAs(version: number, text: string) {
    const body = { version, published_at_ms: Date.now(), value: text };
    storeValue("config", version, body);
  }

  async function respond(request: IncomingMessage, response: ServerResponse) {
    reads++;
    const url = new URL(request.url ?? "", "http://platform");
    const topic = url.pathname === "/v1/hosts" ? "hosts" : "config";
    const after = Number(url.searchParams.get("after"));
    const waitMs = Number(url.searchParams.get("wait_ms"));
    if (mode === "stalled") return;
    if (mode === "error") return void response.writeHead(503).end();
    if (mode === "stale") {
      return void response.end(stored[topic].body);
    }
    await waitForNewer({ topic, after, waitMs, response });
    const { version, body } = stored[topic];
    if (version <= after) {
      const header = topic === "config" ? "config-version" : "hosts-sequence";
      return void response.writeHead(204, { [header]: version }).end();
    }
    response.end(body);
  }

  function waitForNewer(call: WatchRequest) {
    return new Promise<void>((resolve) => {
      const timer = setTimeout(finish, call.waitMs);
      function finish() {
        clearTimeout(timer);
        watches.delete(check);
        resolve();
      }
      function check() {
        if (stored[call.topic].version > call.after) finish();
      }
      call.response.on("close", finish);
      watches.add(check);
      check();
    });
  }

  const server = createServer((request, response) => {
    void respond(request, response);
  });
  await new Promise<void>((resolve) =>
    server.listen(0, "127.0.0.1", () => resolve()),
  );
  const { port } = server.address() as AddressInfo;
  return {
    url: `http://127.0.0.1:${port}`,
    publish(text) {
      const version = stored.config.version + 1;
      publishAs(version, text);
      return version;
    },
    publishAs,
    setHosts(hosts) {
      const sequence = stored.hosts.version + 1;
      const entries = hosts.map((host) => ({
        name: host.name,
        role: host.role,
        service: host.service,
        data_centre: host.dataCentre,
        peer_address: host.peerAddress,
        state: host.state,
      }));
      storeValue("hosts", sequence, { sequence, hosts: entries });
    },
    setMode(next) {
      mode = next;
      if (next !== "up") server.closeAllConnections();
    },
    countReads: () => reads,
    close: () =>
      new Promise((resolve) => {
        server.close(() => resolve());
        server.closeAllConnections();
      }),
  };
}
