/**
 * Entries and model engines in simulated time. Each entry decides by itself, from
 * the reports and response heads that reach it.
 */

import { createService, ENGINE } from "../../directory/testing/mod.ts";
import { chooseEndpoint } from "../choose_endpoint.ts";
import type { EndpointView } from "../choose_endpoint.ts";
import { createEndpointLoads } from "../endpoint_loads.ts";
import type { EndpointLoads } from "../endpoint_loads.ts";
import { createEndpointView } from "./endpoint_view.ts";
import { createReport } from "./load_report.ts";
import { createEngine } from "./simulated_engine.ts";
import type { SimulatedEngine } from "./simulated_engine.ts";

const DATA_CENTRES = 3;
const REPORT_INTERVAL_MS = 150;
/** Of the reports to other data centres, in readings. */
const REMOTE_READINGS = 4;
const TRANSIT_MS = { local: 4, remote: 10 } as const;
/** Entries that an agent reports to, as in the mesh. */
const MAX_PARTNERS = 32;
const TIME_LEFT_MS = 6_000;

export interface RequestKind {
  readonly urgency: number;
  readonly perS: number;
  readonly promptTokens: number;
  readonly events: number;
  readonly objectiveMs: number;
}

export interface SimulatedFleet {
  readonly entries: number;
  readonly endpoints: number;
  readonly slots: number;
  readonly kinds: readonly RequestKind[];
  /** Factor by which the work of an endpoint takes longer at a time. */
  readonly slowdown?: (endpoint: number, nowMs: number) => number;
  readonly durationMs: number;
  /** Requests before this are not part of the result. */
  readonly warmUpMs: number;
  /** In [0, 1). */
  readonly random: () => number;
}

export interface SimulatedCall {
  readonly kind: RequestKind;
  readonly isRefused: boolean;
  readonly view: EndpointView | undefined;
  readonly forecastMs: number;
  readonly sentAtMs: number;
  /** When the first event reached the entry; undefined without any. */
  firstEventMs: number | undefined;
}

interface SimulatedEntry {
  readonly dataCentre: number;
  readonly loads: EndpointLoads;
  /** Endpoints whose agents report to the entry. */
  readonly contacts: number[];
}

export function simulateEntries(
  fleet: SimulatedFleet,
): readonly SimulatedCall[] {
  const { random, slots, kinds, slowdown = () => 1 } = fleet;
  const profile = { ...ENGINE, slots };
  const service = createService({ engine: profile });
  const timeline: (() => void)[][] = [];
  const calls: SimulatedCall[] = [];
  let nowMs = 0;

  function schedule(delayMs: number, handle: () => void) {
    const atMs = Math.max(nowMs + 1, Math.round(nowMs + delayMs));
    (timeline[atMs] ??= []).push(handle);
  }

  const entries = Array.from(
    { length: fleet.entries },
    (_, index): SimulatedEntry => ({
      dataCentre: index % DATA_CENTRES,
      loads: createEndpointLoads(() => nowMs),
      contacts: [],
    }),
  );
  const engines = Array.from({ length: fleet.endpoints }, (_, index) =>
    createEngine(
      profile,
      () => nowMs,
      () => slowdown(index, nowMs),
    ),
  );
  const templates = engines.map((_, index) => {
    const view = createEndpointView(String(index));
    const address = String(index);
    return { ...view, endpoint: { ...view.endpoint, address, slots } };
  });
  const partners = engines.map((_, index) => listPartners(fleet, index));
  partners.forEach((hosts, index) =>
    hosts.forEach((host) => entries[host]!.contacts.push(index)),
  );

  function isLocal({ dataCentre }: SimulatedEntry, endpoint: number) {
    return endpoint % DATA_CENTRES === dataCentre;
  }

  function transitMs(entry: SimulatedEntry, endpoint: number): number {
    return isLocal(entry, endpoint) ? TRANSIT_MS.local : TRANSIT_MS.remote;
  }

  function report(engine: SimulatedEngine, index: number, readings: number) {
    const notice = createReport({
      address: String(index),
      models: [{ name: "m", version: 1 }],
      ...countLoad(engine),
    });
    partners[index]!.map((host) => entries[host]!)
      .filter(
        (entry) => isLocal(entry, index) || readings % REMOTE_READINGS === 0,
      )
      .forEach((entry) => {
        const delayMs = transitMs(entry, index);
        const sender = { roundTripMs: () => 2 * delayMs };
        schedule(delayMs, () => entry.loads.onReport(notice, sender));
      });
    schedule(REPORT_INTERVAL_MS, () => report(engine, index, readings + 1));
  }

  function listViews(
    entry: SimulatedEntry,
    urgency: number,
  ): readonly EndpointView[] {
    const { usualPromptTokens } = profile;
    const options = { usualPromptTokens, urgency, slots };
    return entry.contacts.map((index) => ({
      ...templates[index]!,
      load: entry.loads.read(String(index), options),
      distance: isLocal(entry, index) ? "data_centre" : "other_region",
    }));
  }

  function call(entry: SimulatedEntry, kind: RequestKind) {
    const promptTokens = drawSize(kind.promptTokens);
    const choice = chooseEndpoint(listViews(entry, kind.urgency), {
      service,
      promptTokens,
      timeToObjectiveMs: kind.objectiveMs,
      timeLeftMs: TIME_LEFT_MS,
      random,
    });
    const view = choice.type === "send" ? choice.view : undefined;
    const made: SimulatedCall = {
      kind,
      isRefused: view === undefined,
      view,
      forecastMs: choice.forecastMs ?? 0,
      sentAtMs: nowMs,
      firstEventMs: undefined,
    };
    if (nowMs >= fleet.warmUpMs) calls.push(made);
    if (view !== undefined) send(entry, made, promptTokens);
  }

  function send(
    { loads, ...entry }: SimulatedEntry,
    made: SimulatedCall,
    promptTokens: number,
  ) {
    const { address } = made.view!.endpoint;
    const { urgency, events } = made.kind;
    const engine = engines[Number(address)]!;
    const delayMs = transitMs({ loads, ...entry }, Number(address));
    const tracked = loads.trackRequest(address, { promptTokens, urgency });
    const respond = (handle: () => void) => {
      const statement = { ...countLoad(engine), slots };
      schedule(delayMs, () => {
        handle();
        loads.onResponse(address, statement, made.sentAtMs);
      });
    };
    const request = {
      priority: urgency,
      unreadTokens: promptTokens,
      outputTokens: drawSize(events) * profile.stepsPerPass,
      onFirstEvent: () =>
        respond(() => {
          made.firstEventMs = nowMs;
          tracked.markStarted();
        }),
      onEnd: () => schedule(delayMs, tracked.end),
    };
    schedule(delayMs, () => {
      if (!engine.offer(request)) respond(tracked.end);
    });
  }

  /** Most are small and some are large. */
  function drawSize(mean: number): number {
    return Math.min(3 * mean, 1 - Math.log(1 - random()) * mean);
  }

  engines.forEach((engine, index) =>
    schedule(random() * REPORT_INTERVAL_MS, () =>
      report(engine, index, Math.floor(random() * REMOTE_READINGS)),
    ),
  );
  const nextAtMs = kinds.map(() => 0);
  for (; nowMs < fleet.durationMs; nowMs += 1) {
    timeline[nowMs]?.forEach((handle) => handle());
    engines.forEach(({ advance }) => advance());
    delete timeline[nowMs];
    kinds.forEach((kind, index) => {
      while (nextAtMs[index]! <= nowMs) {
        call(entries[Math.floor(random() * entries.length)]!, kind);
        nextAtMs[index]! += (-Math.log(1 - random()) * 1_000) / kind.perS;
      }
    });
  }
  return calls;
}

function countLoad({ running, waiting }: SimulatedEngine) {
  return { running: running(), waiting: waiting() };
}

/** Spread evenly over the entries. */
function listPartners(
  { entries, endpoints }: SimulatedFleet,
  endpoint: number,
): readonly number[] {
  const first = Math.floor((endpoint * entries) / endpoints);
  const count = Math.min(MAX_PARTNERS, entries);
  return Array.from(
    { length: count },
    (_, step) => (first + Math.floor((step * entries) / count)) % entries,
  );
}
