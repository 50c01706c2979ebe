/**
 * Engines in simulated time that serve requests of very different sizes. Each
 * works in passes, which read prompts between the decode steps.
 */

import { createService, ENGINE } from "../../directory/testing/mod.ts";
import { chooseEndpoint } from "../choose_endpoint.ts";
import type { EndpointView } from "../choose_endpoint.ts";
import { computePassMs } from "../forecast_first_event.ts";
import { createEndpointView } from "./endpoint_view.ts";
import { createLoad, createReport } from "./load_report.ts";

const ENGINES = 6;
const MEAN_PROMPT_TOKENS = 1_290;
const MAX_PROMPT_TOKENS = 3_880;
const MEAN_OUTPUT_TOKENS = 100;
const MAX_OUTPUT_TOKENS = 250;
const MIN_OUTPUT_TOKENS = 5;
/** Tokens that an engine reads in one pass. */
const READ_CHUNK_TOKENS = 2_048;
const OBJECTIVE_MS = 500;
const TIME_LEFT_MS = 6_000;
const RETRY_AFTER_MS = 500;
const STEP_MS = 5;
const SERVICE = createService({ engine: ENGINE });

interface SimulatedRequest {
  readonly sizeTokens: number;
  readonly promptTokens: number;
  unreadTokens: number;
  outputTokens: number;
  isRetry: boolean;
  isServed: boolean;
}

interface Engine {
  requests: SimulatedRequest[];
  passEndsAtMs: number;
}

export interface SimulatedLoad {
  readonly requestsPerS: number;
  /** Of all engines, against their published figures. */
  readonly slowdown: number;
  readonly durationMs: number;
  /** In [0, 1). */
  readonly random: () => number;
}

/** Returns the shares of the requests that are served, of all and by size. */
export function simulateEngines(load: SimulatedLoad) {
  const { slowdown, random } = load;
  const engines: readonly Engine[] = Array.from({ length: ENGINES }, () => ({
    requests: [],
    passEndsAtMs: 0,
  }));
  const all: SimulatedRequest[] = [];
  let waiting: { readonly request: SimulatedRequest; readonly atMs: number }[] =
    [];
  let nextArrivalMs = 0;

  function drawExponential(mean: number, max: number): number {
    return Math.min(max, -Math.log(1 - random()) * mean);
  }

  function createRequest(): SimulatedRequest {
    const promptTokens = drawExponential(MEAN_PROMPT_TOKENS, MAX_PROMPT_TOKENS);
    const outputTokens =
      MIN_OUTPUT_TOKENS +
      drawExponential(MEAN_OUTPUT_TOKENS, MAX_OUTPUT_TOKENS);
    return {
      sizeTokens: promptTokens + 10 * outputTokens,
      promptTokens,
      unreadTokens: promptTokens,
      outputTokens,
      isRetry: false,
      isServed: false,
    };
  }

  function runPass(engine: Engine, nowMs: number) {
    if (engine.passEndsAtMs > nowMs || engine.requests.length === 0) return;
    const running = engine.requests.slice(0, ENGINE.slots);
    const decoding = running.filter(({ unreadTokens }) => unreadTokens === 0);
    let readTokens = 0;
    running.forEach((request) => {
      const left = READ_CHUNK_TOKENS - readTokens;
      const tokens = Math.min(left, request.unreadTokens);
      request.unreadTokens -= tokens;
      readTokens += tokens;
    });
    decoding.forEach((request) => {
      request.outputTokens -= ENGINE.stepsPerPass;
    });
    engine.requests = engine.requests.filter(
      ({ outputTokens }) => outputTokens > 0,
    );
    const passMs =
      computePassMs(ENGINE, decoding.length) +
      (readTokens / ENGINE.readTokensPerS) * 1_000;
    engine.passEndsAtMs = nowMs + passMs * slowdown;
  }

  function viewEngine({ requests }: Engine, index: number): EndpointView {
    const load = createLoad(requests.length, {
      report: createReport({ slowdown }),
      unreadTokens: requests.reduce((sum, r) => sum + r.unreadTokens, 0),
      slowdown,
    });
    return createEndpointView(String(index), { load });
  }

  /** A request that is refused comes back once. */
  function offer(request: SimulatedRequest, nowMs: number) {
    const choice = chooseEndpoint(engines.map(viewEngine), {
      service: SERVICE,
      promptTokens: request.promptTokens,
      timeToObjectiveMs: OBJECTIVE_MS,
      timeLeftMs: TIME_LEFT_MS,
      random,
    });
    if (choice.type === "send") {
      request.isServed = true;
      engines[Number(choice.view.endpoint.id)]!.requests.push(request);
    } else if (!request.isRetry) {
      request.isRetry = true;
      waiting.push({ request, atMs: nowMs + RETRY_AFTER_MS });
    }
  }

  for (let nowMs = 0; nowMs < load.durationMs; nowMs += STEP_MS) {
    engines.forEach((engine) => runPass(engine, nowMs));
    const due = waiting.filter(({ atMs }) => atMs <= nowMs);
    waiting = waiting.filter(({ atMs }) => atMs > nowMs);
    due.forEach(({ request }) => offer(request, nowMs));
    while (nextArrivalMs <= nowMs) {
      const request = createRequest();
      all.push(request);
      offer(request, nowMs);
      nextArrivalMs += drawExponential(1_000 / load.requestsPerS, Infinity);
    }
  }
  const bySize = [...all].sort((a, b) => b.sizeTokens - a.sizeTokens);
  const tenth = Math.floor(all.length / 10);
  return {
    all: computeServedShare(all),
    largestTenth: computeServedShare(bySize.slice(0, tenth)),
    nextFifth: computeServedShare(bySize.slice(tenth, 3 * tenth)),
  };
}

function computeServedShare(requests: readonly SimulatedRequest[]): number {
  return requests.filter(({ isServed }) => isServed).length / requests.length;
}
