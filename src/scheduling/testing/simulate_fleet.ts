/**
 * Engines, entries and callers in simulated time, for loads that exceed the
 * capacity. Entries see their own requests and late reports only; engines admit
 * by priority; callers that are refused come back once, at any entry.
 */

import { createService } from "../../directory/testing/mod.ts";
import type { EngineProfile } from "../../directory/mod.ts";
import { chooseEndpoint } from "../choose_endpoint.ts";
import type { EndpointView } from "../choose_endpoint.ts";
import { createEndpointLoads } from "../endpoint_loads.ts";
import type { TrackedRequest } from "../endpoint_loads.ts";
import { createQueueMix } from "../queue_mix.ts";
import { createRefusalTracker } from "../refusal_tracker.ts";
import { computeRequestPriority } from "../urgency.ts";
import { createEndpointView } from "./endpoint_view.ts";
import { createEngine } from "./simulated_engine.ts";
import type { EngineRequest } from "./simulated_engine.ts";
import { createReport } from "./load_report.ts";

const STEP_MS = 2;
const LOCAL_REPORT_MS = 150;
const REMOTE_REPORT_MS = 600;
const DATA_CENTRES = 3;
const MAX_RETURN_SHARE = 1 / 3;

export interface SimulatedKind {
  readonly rank: number;
  readonly perS: (atMs: number) => number;
  readonly promptTokens: number;
  readonly outputTokens: number;
  readonly objectiveMs: number;
}

export interface SimulatedCall {
  readonly kind: SimulatedKind;
  readonly promptTokens: number;
  readonly arrivedAtMs: number;
  refusals: number;
  firstEventMs: number | undefined;
}

export interface FleetOptions {
  readonly engine: EngineProfile;
  readonly engines: number;
  readonly entries: number;
  readonly rankCount: number;
  readonly kinds: readonly SimulatedKind[];
  readonly durationMs: number;
  readonly timeoutMs: number;
  /** In [0, 1). */
  readonly random: () => number;
}

interface Timer {
  readonly atMs: number;
  readonly run: () => void;
}

export function simulateFleet(options: FleetOptions): readonly SimulatedCall[] {
  const { engine: profile, kinds, rankCount, timeoutMs, random } = options;
  const service = createService({ engine: profile });
  const calls: SimulatedCall[] = [];
  let now = 0;
  let timers: Timer[] = [];
  const nowMs = () => now;
  const schedule = (delayMs: number, run: () => void) =>
    void timers.push({ atMs: now + delayMs, run });
  const engines = Array.from({ length: options.engines }, () =>
    createEngine(profile, nowMs),
  );
  const entries = Array.from({ length: options.entries }, () => ({
    loads: createEndpointLoads(nowMs),
    mix: createQueueMix(nowMs),
    refusals: createRefusalTracker(nowMs),
  }));
  type Entry = (typeof entries)[number];

  const distance = (engine: number, entry: number) =>
    engine % DATA_CENTRES === entry % DATA_CENTRES
      ? "data_centre"
      : "other_region";

  function reportLoads(place: "data_centre" | "other_region") {
    engines.forEach(({ running, waiting }, index) => {
      const address = String(index);
      const notice = createReport({
        address,
        running: running(),
        waiting: waiting(),
      });
      entries.forEach(({ loads }, entry) => {
        if (distance(index, entry) !== place) return;
        schedule(place === "data_centre" ? 2 : 15, () =>
          loads.onReport(notice),
        );
      });
    });
    schedule(place === "data_centre" ? LOCAL_REPORT_MS : REMOTE_REPORT_MS, () =>
      reportLoads(place),
    );
  }

  function listViews(entry: Entry, call: SimulatedCall, tried: Set<number>) {
    const priority = findPriority(call);
    const shareAhead =
      priority === undefined ? undefined : entry.mix.readShareAhead(priority);
    return engines.map((_, index): EndpointView => {
      const load = entry.loads.read(String(index), {
        usualPromptTokens: profile.usualPromptTokens,
        urgency: call.kind.rank,
        slots: profile.slots,
        shareAhead,
      });
      return createEndpointView(String(index), {
        load,
        isAllowed: !tried.has(index),
        distance: distance(index, entries.indexOf(entry)),
      });
    });
  }

  function findPriority({ kind: { rank } }: SimulatedCall) {
    return computeRequestPriority({ rank, rankCount }, false);
  }

  function offer(call: SimulatedCall, entry: Entry, tried = new Set<number>()) {
    const spentMs = now - call.arrivedAtMs;
    const priority = findPriority(call);
    const choice = chooseEndpoint(listViews(entry, call, tried), {
      service,
      promptTokens: call.promptTokens,
      timeToObjectiveMs:
        tried.size > 0 ? timeoutMs - spentMs : call.kind.objectiveMs,
      timeLeftMs: timeoutMs - spentMs,
      ...(priority !== undefined && {
        order: { priority, shareAhead: entry.mix.readShareAhead(priority) },
      }),
      random,
    });
    if (choice.type !== "send") return refuse(call, entry);
    entry.refusals.countAdmitted();
    const index = Number(choice.view.endpoint.id);
    const tracked = entry.loads.trackRequest(String(index), {
      promptTokens: call.promptTokens,
      urgency: call.kind.rank,
    });
    const stopWaiting =
      choice.priority === undefined
        ? undefined
        : entry.mix.track(choice.priority);
    schedule(choice.view.distance === "data_centre" ? 1 : 12, () =>
      arrive(call, { entry, index, tried, priority, tracked, stopWaiting }),
    );
  }

  function arrive(
    call: SimulatedCall,
    sent: {
      readonly entry: Entry;
      readonly index: number;
      readonly tried: Set<number>;
      readonly priority: number | undefined;
      readonly tracked: TrackedRequest;
      readonly stopWaiting: (() => void) | undefined;
    },
  ) {
    const { entry, index, tried, tracked, stopWaiting } = sent;
    const request: EngineRequest = {
      priority: sent.priority ?? 5,
      unreadTokens: call.promptTokens,
      outputTokens: call.kind.outputTokens,
      onFirstEvent() {
        call.firstEventMs = now - call.arrivedAtMs;
        tracked.markStarted();
        stopWaiting?.();
      },
      onEnd() {
        stopWaiting?.();
        tracked.end();
      },
    };
    if (engines[index]!.offer(request)) return;
    request.onEnd();
    tried.add(index);
    if (tried.size > 2) refuse(call, entry);
    else offer(call, entry, tried);
  }

  function refuse(call: SimulatedCall, entry: Entry) {
    entry.refusals.countRefused();
    call.refusals += 1;
    if (call.refusals > 1) return;
    const askedMs = entry.refusals.computeRetryDelayMs() * (1 + random() / 2);
    const leftMs = timeoutMs - (now - call.arrivedAtMs);
    schedule(Math.min(askedMs, leftMs * MAX_RETURN_SHARE), () =>
      offer(call, drawEntry()),
    );
  }

  function drawEntry(): Entry {
    return entries[Math.floor(random() * entries.length)]!;
  }

  function draw(mean: number): number {
    return Math.min(3 * mean, -Math.log(1 - random()) * mean);
  }

  function startArrivals() {
    kinds.forEach((kind) => {
      if (random() >= (kind.perS(now) * STEP_MS) / 1_000) return;
      const call: SimulatedCall = {
        kind,
        promptTokens: Math.max(20, draw(kind.promptTokens)),
        arrivedAtMs: now,
        refusals: 0,
        firstEventMs: undefined,
      };
      calls.push(call);
      offer(call, drawEntry());
    });
  }

  reportLoads("data_centre");
  reportLoads("other_region");
  for (; now < options.durationMs + timeoutMs; now += STEP_MS) {
    const due = timers.filter(({ atMs }) => atMs <= now);
    timers = timers.filter(({ atMs }) => atMs > now);
    due.forEach(({ run }) => run());
    engines.forEach(({ advance }) => advance());
    if (now < options.durationMs) startArrivals();
  }
  return calls;
}
