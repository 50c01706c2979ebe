/**
 * An entry with fake agents for tests: real peer connections and HTTP over
 * loopback, and a view of the fleet that the test sets.
 */

import { createHash } from "node:crypto";
import type { EnvironmentDocument } from "../../document/mod.ts";
import type { Host } from "../../membership/mod.ts";
import { createRegistry } from "../../metrics/mod.ts";
import type { Node } from "../../node/mod.ts";
import type { ChoicePolicy } from "../../routing/mod.ts";
import {
  connectPeer,
  createWireCounters,
  listenForPeers,
} from "../../wire/mod.ts";
import type {
  Hello,
  Notice,
  Peer,
  RequestHead,
  Stream,
  Trailer,
} from "../../wire/mod.ts";
import { createEntry } from "../mod.ts";
import type { EntrySettings } from "../mod.ts";

export const DIGEST = `sha256:${"1".repeat(64)}`;
export const OTHER_DIGEST = `sha256:${"2".repeat(64)}`;
export const API_KEY = "key-of-a";

export interface Gate<T> {
  readonly promise: Promise<T>;
  readonly open: (value: T) => void;
}

/** A promise that a test resolves. */
export function createGate<T = void>(): Gate<T> {
  let open: (value: T) => void;
  const promise = new Promise<T>((resolve) => (open = resolve));
  return { promise, open: open! };
}

function createLogger(onMessage: (message: string) => void): Node["logger"] {
  function log(...values: readonly unknown[]) {
    onMessage(String(values.at(-1)));
  }
  const names = ["debug", "info", "warn", "error", "fatal"];
  return Object.fromEntries(
    names.map((name) => [name, log]),
  ) as unknown as Node["logger"];
}

const ADMISSION = { coldConcurrency: 2, warmConcurrency: 8, maxQueued: 8 };

/** Two data centres of one region and one of another, as agents a to d use. */
export function createDocument(
  runners: readonly string[] = ["a", "b", "c"],
): EnvironmentDocument {
  return {
    environment: "test",
    deployment: "agency",
    regions: [{ name: "r1" }, { name: "r2" }],
    dataCentres: [
      { name: "d1", region: "r1", out: false },
      { name: "d2", region: "r1", out: false },
      { name: "d3", region: "r2", out: false },
    ],
    links: { hostMbitPerS: 100, storeMbitPerS: 100, regionMbitPerS: 15 },
    models: [
      {
        name: "m",
        versions: [{ name: "v1", digest: DIGEST, sizeBytes: 1 }],
        servingVersion: "v1",
      },
    ],
    services: [
      { kind: "language", name: "assistant", model: "m", admission: ADMISSION },
      {
        kind: "plain",
        name: "booking",
        admission: ADMISSION,
        routes: [
          { method: "POST", pathPrefix: "/bookings", repeatable: false },
          { method: "GET", pathPrefix: "/bookings", repeatable: true },
        ],
        runnerSets: [{ fromMs: 0, runners }],
        runnerLeadS: 86_400,
        maxKeys: 100,
      },
    ],
    clientAccounts: [
      {
        name: "a",
        apiKeySha256: createHash("sha256").update(API_KEY).digest("hex"),
        requestsPerS: 10_000,
        priority: 5,
      },
    ],
  };
}

/** What a fake agent does with one request; it has read the whole body. */
export type Behaviour = (
  stream: Stream,
  request: { readonly head: RequestHead; readonly body: string },
  agent: Agent,
) => unknown;

export interface Agent {
  readonly host: string;
  readonly requests: { readonly head: RequestHead; readonly body: string }[];
  readonly notices: Notice[];
  /** Replaceable while the test runs. */
  behaviour: Behaviour;
  /** Breaks the connection to the entry. */
  disconnect(): void;
  notify(notice: Notice): void;
  /** Resolves when the entry has sent this many notices. */
  waitForNotices(count: number): Promise<void>;
}

export interface AgentPlace {
  readonly host: string;
  readonly dataCentre?: string;
  readonly service?: string;
  readonly behaviour: Behaviour;
}

export interface Fleet {
  readonly url: string;
  readonly entry: ReturnType<typeof createEntry>;
  readonly agents: readonly Agent[];
  readonly fetchedVersions: readonly number[];
  view: {
    document: EnvironmentDocument | undefined;
    hosts: readonly Host[];
    isWaking: boolean;
  };
  changeView(): void;
  /** Resolves when the agents have got this many requests together. */
  waitForRequests(count: number): Promise<void>;
  /** Resolves when the entry has got a load report from this host. */
  waitForReport(host: string): Promise<void>;
  /** Resolves when the entry has logged this message. */
  waitForLog(message: string): Promise<void>;
  counter(name: string, labels?: Record<string, string>): number;
  post(
    path: string,
    body: unknown,
    headers?: Record<string, string>,
  ): Promise<Response>;
  close(): Promise<void>;
}

export interface FleetOptions {
  readonly agents?: readonly AgentPlace[];
  readonly settings?: Partial<EntrySettings>;
  readonly choose?: ChoicePolicy;
  readonly nowMs?: () => number;
}

/** Candidates in the order of their host names. */
export const chooseFirst: ChoicePolicy = (candidates) =>
  [...candidates].sort((a, b) => (a.host < b.host ? -1 : 1))[0];

export async function createFleet(options: FleetOptions): Promise<Fleet> {
  const registry = createRegistry();
  const logged = new Map<string, Gate<void>>();
  const logger = createLogger((message) => findGate(message).open());
  function findGate(message: string): Gate<void> {
    const gate = logged.get(message) ?? createGate();
    logged.set(message, gate);
    return gate;
  }
  const counters = createWireCounters(registry);
  const peers = new Map<string, Peer>();
  const noticeHandlers = new Map<string, (peer: Peer, n: Notice) => void>();
  const changeHandlers: (() => void)[] = [];
  const fetchedVersions: number[] = [];
  let requestCount = 0;
  const view: Fleet["view"] = {
    document: createDocument(),
    hosts: [],
    isWaking: false,
  };
  const node: Node = {
    identity: {
      host: "entry-1",
      role: "entry",
      dataCentre: "d1",
      incarnation: "i",
      startedAtMs: 0,
    },
    registry,
    logger,
    peerAddress: "127.0.0.1:0",
    view: {
      config: () =>
        view.document && {
          version: 7,
          document: view.document,
          publishedAtMs: 0,
        },
      configConfirmedAtMs: () => 0,
      hosts: () => ({ sequence: 1, hosts: view.hosts }),
      onChange: (handler) => changeHandlers.push(handler),
      isWaking: () => view.isWaking,
    },
    peers: () => [...peers.values()].filter((peer) => !peer.isClosed()),
    findPeer: (host) => {
      const peer = peers.get(host);
      return peer?.isClosed() ? undefined : peer;
    },
    onPeer: () => undefined,
    addPeerChooser: () => undefined,
    onStream: () => undefined,
    onNotice: (topic, handler) => noticeHandlers.set(topic, handler),
    fetchConfig: async (_, version) => void fetchedVersions.push(version),
    isClockSkewed: () => false,
    raiseConfigFloor: () => undefined,
    close: async () => undefined,
  };
  const entry = createEntry({
    node,
    registry,
    logger,
    random: () => 0,
    choose: options.choose ?? chooseFirst,
    ...(options.nowMs && { nowMs: options.nowMs }),
    settings: {
      httpAddress: "127.0.0.1:0",
      maxBodyBytes: 1024 * 1024,
      bodyTimeoutMs: 5_000,
      requestTimeoutMs: 10_000,
      drainNoticeMs: 1,
      ...options.settings,
    },
  });
  const started = await Promise.all(
    (options.agents ?? []).map((place) =>
      startAgent(place, {
        counters,
        onRequest: () => {
          requestCount += 1;
          findGate(`request ${requestCount}`).open();
        },
        onNotice: (peer, notice) => {
          noticeHandlers.get(notice.topic)?.(peer, notice);
          if (notice.topic === "load") {
            findGate(`report of ${peer.hello.host}`).open();
          }
        },
      }),
    ),
  );
  started.forEach(({ peer }) => peers.set(peer.hello.host, peer));
  const address = (await entry.listen())._unsafeUnwrap();
  const url = `http://${address}`;
  return {
    url,
    entry,
    view,
    fetchedVersions,
    agents: started.map(({ agent }) => agent),
    waitForRequests: (count) => findGate(`request ${count}`).promise,
    waitForReport: (host) => findGate(`report of ${host}`).promise,
    waitForLog: (message) => findGate(message).promise,
    changeView: () => changeHandlers.forEach((handler) => handler()),
    counter: (name, labels) => registry.counter(name, "").read(labels),
    post: (path, body, headers = {}) =>
      fetch(url + path, {
        method: "POST",
        headers: { authorization: `Bearer ${API_KEY}`, ...headers },
        body: typeof body === "string" ? body : JSON.stringify(body),
      }),
    async close() {
      await entry.close();
      await Promise.all(started.map(({ close }) => close()));
    },
  };
}

async function startAgent(
  place: AgentPlace,
  entryOptions: {
    readonly counters: ReturnType<typeof createWireCounters>;
    readonly onNotice: (peer: Peer, notice: Notice) => void;
    readonly onRequest: () => void;
  },
) {
  const { counters, onNotice, onRequest } = entryOptions;
  let entryPeer: Peer | undefined;
  const noticeWaiters: (() => void)[] = [];
  const agent: Agent = {
    host: place.host,
    requests: [],
    notices: [],
    behaviour: place.behaviour,
    disconnect: () => entryPeer?.close("killed"),
    notify: (notice) => entryPeer?.sendNotice(notice),
    async waitForNotices(count) {
      while (agent.notices.length < count) {
        await new Promise<void>((resolve) => noticeWaiters.push(resolve));
      }
    },
  };

  async function serve(stream: Stream) {
    const parts: Uint8Array[] = [];
    for (;;) {
      const event = await stream.read();
      if (event.type === "data") parts.push(event.bytes);
      if (event.type === "lost") return;
      if (event.type === "end") break;
    }
    const request = {
      head: stream.head as RequestHead,
      body: Buffer.concat(parts).toString(),
    };
    agent.requests.push(request);
    onRequest();
    await agent.behaviour(stream, request, agent);
  }

  const connected = createGate();
  const listener = await listenForPeers("127.0.0.1:0", {
    hello: () => createHello(place),
    counters,
    handlers: {
      onStream: (_, stream) => void serve(stream),
      onNotice: (_, notice) => {
        agent.notices.push(notice);
        noticeWaiters.splice(0).forEach((resolve) => resolve());
      },
    },
    onPeer: (peer) => {
      entryPeer = peer;
      connected.open();
    },
  });
  const dialled = await connectPeer(listener.address, {
    hello: () => ({ ...createHello(place), host: "entry-1", role: "entry" }),
    counters,
    handlers: { onStream: () => undefined, onNotice },
  });
  await connected.promise;
  return { agent, peer: dialled._unsafeUnwrap(), close: listener.close };
}

function createHello(place: AgentPlace): Hello {
  return {
    protocolVersion: 1,
    role: "agent",
    host: place.host,
    dataCentre: place.dataCentre ?? "d1",
    service: place.service ?? "assistant",
    incarnation: "i",
    configVersion: 7,
  };
}

export function formatEvent(text: string, id = "c1"): string {
  const choices = [{ index: 0, delta: { content: text }, finish_reason: null }];
  return `data: ${JSON.stringify({ id, created: 1, choices })}\n\n`;
}

export const FINISH = `data: ${JSON.stringify({
  id: "c1",
  choices: [{ index: 0, delta: {}, finish_reason: "stop" }],
})}\n\n`;
export const DONE = "data: [DONE]\n\n";

export function sendHead(
  stream: Stream,
  options: { digest?: string; type?: string; status?: number } = {},
) {
  const { digest = DIGEST, type = "text/event-stream", status = 200 } = options;
  stream.send({ kind: "accepted", incarnation: "i" });
  stream.send({
    kind: "response_head",
    status,
    headers: { "content-type": type },
    versionDigest: digest,
  });
}

/** Streams these pieces of events and ends with this trailer. */
export function streamEvents(
  events: readonly string[],
  trailer: Trailer = { outcome: "answered" },
): Behaviour {
  return async (stream) => {
    sendHead(stream);
    for (const event of events) await stream.write(Buffer.from(event));
    stream.end(trailer);
  };
}

export function answerJson(text: string): Behaviour {
  return async (stream) => {
    sendHead(stream, { type: "application/json" });
    await stream.write(Buffer.from(JSON.stringify({ text })));
    stream.end({ outcome: "answered" });
  };
}

export function refuseWith(code: string, retryAfterMs?: number): Behaviour {
  return (stream) =>
    stream.end({
      outcome: "not_run",
      code,
      ...(retryAfterMs !== undefined && { retryAfterMs }),
    });
}

/** Text of all content in a stream as the caller got it. */
export function readText(events: string): string {
  return events
    .split("\n\n")
    .filter((event) => event.startsWith("data: {"))
    .map((event) => JSON.parse(event.slice(6)) as Record<string, never>)
    .flatMap(
      ({ choices }) => (choices ?? []) as { delta?: { content?: string } }[],
    )
    .map((choice) => choice.delta?.content ?? "")
    .join("");
}
