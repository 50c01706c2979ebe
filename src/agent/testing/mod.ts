/** Starts an agent with a fake endpoint; the test acts as the entry. */

import { afterEach, expect } from "@jest/globals";
import type {
  EnvironmentDocument,
  PlainService,
  Service,
} from "../../document/mod.ts";
import type { Logger } from "../../logging/mod.ts";
import { createRegistry } from "../../metrics/mod.ts";
import { connectPeer, createWireCounters } from "../../wire/mod.ts";
import type {
  Notice,
  Peer,
  Phase,
  RequestHead,
  ResponseHead,
  Stream,
  Trailer,
} from "../../wire/mod.ts";
import { createAgent } from "../agent.ts";
import { createFakeEngine } from "./fake_engine.ts";
import type { FakeEngine } from "./fake_engine.ts";
import { createFakeNode } from "./fake_node.ts";
import { createFakeWeights } from "./fake_weights.ts";

export const DIGEST_1 = `sha256:${"1".repeat(64)}`;
export const DIGEST_2 = `sha256:${"2".repeat(64)}`;
export const SILENT_LOGGER: Logger = {
  debug: () => true,
  info: () => true,
  warn: () => true,
  error: () => true,
  fatal: () => true,
} as unknown as Logger;

export const LANGUAGE_SERVICE: Service = {
  kind: "language",
  name: "assistant",
  model: "m",
  admission: { coldConcurrency: 2, warmConcurrency: 8, maxQueued: 4 },
};

export const PLAIN_SERVICE: PlainService = {
  kind: "plain",
  name: "ledger",
  admission: { coldConcurrency: 2, warmConcurrency: 8, maxQueued: 4 },
  routes: [{ method: "POST", pathPrefix: "/bookings", repeatable: false }],
  runnerSets: [{ fromMs: 0, runners: ["h1"] }],
  runnerLeadS: 86_400,
  maxKeys: 100,
};

/** A host list that gives this agent's host another address. */
export function createListing(state: "live" | "leaving") {
  const address = { dataCentre: "d1", peerAddress: "127.0.0.1:1" };
  const host = { name: "h1", role: "endpoint" as const, ...address, state };
  return { sequence: 2, hosts: [host] };
}

export function createDocument(
  service: Service,
  changes: Partial<EnvironmentDocument> = {},
): EnvironmentDocument {
  return {
    environment: "trial",
    deployment: "d",
    regions: [{ name: "r1" }],
    dataCentres: [{ name: "d1", region: "r1", out: false }],
    links: { hostMbitPerS: 10, storeMbitPerS: 10, regionMbitPerS: 10 },
    models: [
      {
        name: "m",
        versions: [
          { name: "v1", digest: DIGEST_1, sizeBytes: 6 },
          { name: "v2", digest: DIGEST_2, sizeBytes: 6 },
        ],
        servingVersion: "v1",
      },
    ],
    services: [service],
    clientAccounts: [],
    ...changes,
  };
}

export function createTestClock() {
  let offsetMs = 0;
  return {
    wallMs: () => Date.now() + offsetMs,
    monotonicMs: () => performance.now() + offsetMs,
    /** Advances both clocks, as a pause of the process does. */
    advance(durationMs: number) {
      offsetMs += durationMs;
    },
  };
}

export type AgentHarness = Awaited<ReturnType<typeof createHarness>>;

interface ConnectChanges {
  readonly role?: "entry" | "agent";
  readonly incarnation?: string;
}

export interface HarnessOptions {
  readonly service?: Service;
  /** Time since the process start; the key floor is 2 s after the start. */
  readonly startedAgoMs?: number;
  readonly prepare?: (engine: FakeEngine) => void;
  readonly engine?: FakeEngine;
  /** Phase of the first load report to wait for. */
  readonly phase?: Phase;
}

export const INCARNATION = "01940000-0000-7000-8000-000000000001";

export async function createHarness(options: HarnessOptions = {}) {
  const { service = LANGUAGE_SERVICE, startedAgoMs = 60_000 } = options;
  const clock = createTestClock();
  const engine = options.engine ?? (await createFakeEngine(DIGEST_1));
  const waiters: (() => void)[] = [];
  const notify = () => waiters.splice(0).forEach((wake) => wake());
  engine.onActivity(notify);
  engine.setClock(clock.wallMs);
  options.prepare?.(engine);
  const fakeNode = await createFakeNode({
    identity: {
      host: "h1",
      role: "agent",
      dataCentre: "d1",
      service: service.name,
      incarnation: INCARNATION,
      startedAtMs: Date.now() - startedAgoMs,
    },
    config: {
      version: 1,
      document: createDocument(service),
      publishedAtMs: 0,
    },
    confirmedAtMs: Date.now(),
    logger: SILENT_LOGGER,
    notify,
  });
  const weights = createFakeWeights(notify);
  const registry = createRegistry();
  const agent = createAgent({
    node: fakeNode.node,
    weights,
    settings: {
      service: service.name,
      httpAddress: "127.0.0.1:0",
      endpointUrl: engine.url,
      drainTimeoutMs: 5_000,
    },
    registry,
    logger: SILENT_LOGGER,
    clock,
    pollIntervalMs: 10,
  });
  await agent.start();
  const notices: Notice[] = [];
  const peers: Peer[] = [];

  async function connect(host: string, changes: ConnectChanges = {}) {
    const peer = await connectPeer(fakeNode.node.peerAddress, {
      hello: () => ({
        protocolVersion: 1,
        role: "entry",
        host,
        dataCentre: "d1",
        incarnation: INCARNATION,
        configVersion: 1,
        ...changes,
      }),
      handlers: {
        onStream: () => undefined,
        onNotice(_, notice) {
          notices.push(notice);
          notify();
        },
      },
      counters: createWireCounters(createRegistry()),
    });
    peers.push(peer._unsafeUnwrap());
    return peer._unsafeUnwrap();
  }

  function lastLoad() {
    return notices.findLast((notice) => notice.topic === "load");
  }

  /**
   * Resolves when the condition is true; evaluated on each event of the fakes.
   */
  async function waitUntil(condition: () => boolean) {
    while (!condition()) {
      await new Promise<void>((resolve) => waiters.push(resolve));
    }
  }

  const entry = await connect("e1");
  return {
    agent,
    engine,
    weights,
    fakeNode,
    clock,
    registry,
    entry,
    notices,
    connect,
    waitUntil,
    lastLoad,
    setDocument(document: EnvironmentDocument, newVersion?: number) {
      const heldVersion = fakeNode.node.view.config()?.version ?? 0;
      const version = newVersion ?? heldVersion + 1;
      fakeNode.setConfig({ version, document, publishedAtMs: 0 });
    },
    async close() {
      peers.forEach((peer) => peer.close("test_over"));
      await agent.close();
      await fakeNode.node.close();
      await engine.close();
    },
  };
}

/** Returns a function that starts an agent, which is closed after the test. */
export function useHarness(defaults: HarnessOptions = {}) {
  const harnesses: AgentHarness[] = [];
  afterEach(async () => {
    await Promise.all(harnesses.splice(0).map((harness) => harness.close()));
  });
  /** Resolves once the agent has reported the expected phase to the entry. */
  return async function start(
    options: HarnessOptions = {},
  ): Promise<AgentHarness> {
    const harness = await createHarness({ ...defaults, ...options });
    harnesses.push(harness);
    const { phase = "warm" } = options;
    await harness.waitUntil(() => harness.lastLoad()?.phase === phase);
    return harness;
  };
}

/** Trailer of a request that was not run. */
export function notRun(code: string) {
  return expect.objectContaining({ outcome: "not_run", code });
}

/** Trailer of a request that may have run. */
export function unknownOutcome(code: string) {
  return expect.objectContaining({ outcome: "unknown", code });
}

export interface Reply {
  readonly accepted: boolean;
  readonly head: ResponseHead | undefined;
  readonly body: string;
  /** Undefined if the stream was lost. */
  readonly trailer: Trailer | undefined;
}

let nextRequest = 0;

export function createHead(changes: Partial<RequestHead> = {}): RequestHead {
  nextRequest += 1;
  return {
    kind: "request",
    requestId: `r${nextRequest}`,
    service: "assistant",
    clientAccount: "a",
    priority: 0,
    method: "POST",
    path: "/v1/completions",
    headers: { "content-type": "application/json" },
    configVersion: 1,
    remainingMs: 10_000,
    repeatable: true,
    fingerprint: `f${nextRequest}`,
    ...changes,
  };
}

export function openRequest(peer: Peer, head: RequestHead, body = "{}") {
  const stream = peer.openStream(head)._unsafeUnwrap();
  void stream.write(Buffer.from(body)).then(() => {
    stream.end({ outcome: "answered" });
  });
  return stream;
}

export async function readReply(stream: Stream): Promise<Reply> {
  const parts: Uint8Array[] = [];
  let accepted = false;
  let head: ResponseHead | undefined;
  for (;;) {
    const event = await stream.read();
    if (event.type === "data") parts.push(event.bytes);
    else if (event.type === "message") {
      if (event.message.kind === "accepted") accepted = true;
      if (event.message.kind === "response_head") head = event.message;
    } else {
      const body = Buffer.concat(parts).toString();
      const trailer = event.type === "end" ? event.trailer : undefined;
      return { accepted, head, body, trailer };
    }
  }
}

export function sendRequest(
  peer: Peer,
  changes: Partial<RequestHead> = {},
  body = "{}",
): Promise<Reply> {
  return readReply(openRequest(peer, createHead(changes), body));
}
