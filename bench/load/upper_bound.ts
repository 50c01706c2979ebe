/**
 * A reference that no entry can reach: one scheduler sees every endpoint exactly
 * and without delay, holds all requests itself, and fills free slots by urgency,
 * then by worth. A request waits there only as long as it can be in time; one
 * that would be late is sent when there is room.
 */

import type { Visit } from "./calls.ts";
import type { SimulatedEndpoint } from "./endpoints.ts";
import type { EngineModel, FirstEventForecast } from "./engine_model.ts";
import type { EventQueue } from "./event_queue.ts";

/** Late requests leave this many slots of an endpoint to others. */
const KEPT_SLOTS = 1;
/** Conditions of endpoints change without an event of a request. */
const CHECK_INTERVAL_MS = 20;
/** Prompts that are read later delay the first event of a request. */
const FORECAST_MARGIN_MS = 40;
/** Between the events of a request, with all slots in use and prompts read. */
const EVENT_INTERVAL_MS = 110;

/** Of one scheduler. */
const MAX_ENDPOINTS = 128;

interface HeldRequest {
  readonly visit: Visit;
  readonly endsInTimeAtMs: number;
}

/** A model endpoint at one moment. */
interface Candidate {
  readonly endpoint: SimulatedEndpoint;
  readonly engine: EngineModel;
  forecast: FirstEventForecast;
}

export interface UpperBoundOptions {
  readonly queue: EventQueue;
  readonly endpoints: readonly SimulatedEndpoint[];
  readonly isRunning: () => boolean;
}

/**
 * Large fleets are divided among several schedulers, which take calls in turn:
 * one costs a time that grows with the square of the fleet, and gains little
 * from more endpoints.
 */
export function createUpperBound(options: UpperBoundOptions) {
  const { endpoints } = options;
  const count = Math.ceil(endpoints.length / MAX_ENDPOINTS);
  const schedulers = Array.from({ length: count }, (_, part) =>
    createScheduler({
      ...options,
      endpoints: selectPart(endpoints, part, count),
    }),
  );
  let calls = 0;
  return {
    handle(visit: Visit) {
      schedulers[calls % count]!.handle(visit);
      calls += 1;
    },
  };
}

/** Every part has its share of the plain endpoints, which are listed last. */
function selectPart(
  endpoints: readonly SimulatedEndpoint[],
  part: number,
  count: number,
) {
  return endpoints.filter((_, index) => index % count === part);
}

function createScheduler(options: UpperBoundOptions) {
  const { queue, endpoints, isRunning } = options;
  const { nowMs } = queue;
  const plains = endpoints.filter(({ service }) => service === "plain");
  const models = endpoints.flatMap((endpoint) =>
    endpoint.engine === undefined
      ? []
      : [{ endpoint, engine: endpoint.engine }],
  );
  /** Most urgent first, of these the most worth first. */
  const timely: HeldRequest[] = [];
  let late: readonly HeldRequest[] = [];

  function listCandidates(): readonly Candidate[] {
    return models
      .filter(({ endpoint }) => endpoint.isOpen())
      .map((model) => ({
        ...model,
        forecast: model.engine.forecastFirstEvent(),
      }));
  }

  function endsInTime(held: HeldRequest, candidate: Candidate): boolean {
    const forecastMs = computeForecastMs(held, candidate);
    return nowMs() + forecastMs <= held.endsInTimeAtMs;
  }

  function sendTimely(candidates: readonly Candidate[]) {
    let free = candidates.filter((candidate) => hasFreeSlots(candidate, 0));
    for (let index = 0; index < timely.length && free.length > 0;) {
      const held = timely[index]!;
      const best = findSoonest(free, held)!;
      if (endsInTime(held, best)) {
        timely.splice(index, 1);
        send(best, held.visit);
        if (!hasFreeSlots(best, 0)) free = free.filter((one) => one !== best);
      } else {
        index += 1;
      }
    }
  }

  function sendLate(candidates: readonly Candidate[]) {
    const isFree = (one: Candidate) => hasFreeSlots(one, KEPT_SLOTS);
    let free = candidates.filter(isFree);
    while (late.length > 0 && free.length > 0) {
      const [held, ...others] = late as [HeldRequest, ...HeldRequest[]];
      late = others;
      const best = findSoonest(free, held)!;
      const { request, deadlineMs } = held.visit;
      const endMs =
        nowMs() +
        computeForecastMs(held, best) +
        request.events * EVENT_INTERVAL_MS;
      if (endMs > deadlineMs) {
        held.visit.onRefused(undefined);
      } else {
        send(best, held.visit);
        if (!isFree(best)) free = free.filter((one) => one !== best);
      }
    }
  }

  /** Requests that no endpoint can serve in time any more become late. */
  function moveLate(candidates: readonly Candidate[]) {
    const moved = timely.filter((held) => {
      const best = findSoonest(candidates, held);
      return best === undefined || !endsInTime(held, best);
    });
    if (moved.length > 0) {
      const isMoved = new Set(moved);
      timely.splice(
        0,
        timely.length,
        ...timely.filter((held) => !isMoved.has(held)),
      );
    }
    const [expired, open] = [true, false].map((isExpired) =>
      [...late, ...moved].filter(
        ({ visit }) => nowMs() >= visit.deadlineMs === isExpired,
      ),
    );
    expired!.forEach(({ visit }) => visit.onRefused(undefined));
    late = moved.length > 0 ? open!.sort(compareRank) : open!;
  }

  function checkRegularly() {
    const candidates = listCandidates();
    sendTimely(candidates);
    moveLate(candidates);
    if (timely.length === 0) sendLate(candidates);
    if (!isRunning()) return;
    queue.schedule(queue.nowMs() + CHECK_INTERVAL_MS, checkRegularly);
  }

  function checkFreeSlots() {
    if (timely.length > 0) sendTimely(listCandidates());
  }

  function send(candidate: Candidate, visit: Visit) {
    sendTo(candidate.endpoint, visit);
    candidate.forecast = candidate.engine.forecastFirstEvent();
  }

  function sendTo(endpoint: SimulatedEndpoint, visit: Visit) {
    const { request, deadlineMs } = visit;
    let firstEventAtMs = 0;
    endpoint.offer({
      promptTokens: request.promptTokens,
      eventCount: request.events,
      workMs: request.workMs,
      priority: request.route.priority,
      deadlineMs,
      onFirstEvent: () => void (firstEventAtMs = nowMs()),
      onEnd(longestPauseMs) {
        visit.onServed(firstEventAtMs, longestPauseMs);
        // The endpoint frees the slot after this call.
        queue.schedule(nowMs(), checkFreeSlots);
      },
      onNotRun: () => visit.onRefused(undefined),
      onCut: () => visit.onFailed(),
    });
  }

  queue.schedule(0, checkRegularly);
  return {
    handle(visit: Visit) {
      const { request } = visit;
      if (request.route.service === "plain") {
        const shortest = plains.reduce((a, b) =>
          computePlainWork(b) < computePlainWork(a) ? b : a,
        );
        return sendTo(shortest, visit);
      }
      const endsInTimeAtMs = request.atMs + request.route.objectiveMs;
      const held = { visit, endsInTimeAtMs };
      const behind = timely.findIndex((other) => compareRank(held, other) < 0);
      timely.splice(behind < 0 ? timely.length : behind, 0, held);
      checkFreeSlots();
    },
  };
}

function hasFreeSlots({ engine }: Candidate, keptSlots: number): boolean {
  return engine.running() + keptSlots < engine.slots;
}

function findSoonest(
  candidates: readonly Candidate[],
  held: HeldRequest,
): Candidate | undefined {
  let best: Candidate | undefined;
  let bestMs = Infinity;
  for (const candidate of candidates) {
    const forecastMs = computeForecastMs(held, candidate);
    if (forecastMs >= bestMs) continue;
    best = candidate;
    bestMs = forecastMs;
  }
  return best;
}

function computeForecastMs(
  { visit }: HeldRequest,
  { forecast }: Candidate,
): number {
  const readMs = visit.request.promptTokens * forecast.msPerToken;
  return forecast.emptyMs + readMs + FORECAST_MARGIN_MS;
}

/** Time until one more request starts, in units of a request's work. */
function computePlainWork({ model, slowdown }: SimulatedEndpoint): number {
  return (model.running() + model.waiting() + 1) * slowdown();
}

function compareRank(a: HeldRequest, b: HeldRequest): number {
  const { route: first, worthInTime } = a.visit.request;
  const { route: second, worthInTime: otherWorth } = b.visit.request;
  return first.priority - second.priority || otherWorth - worthInTime;
}
