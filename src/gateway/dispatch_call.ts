/**
 * Has one call answered: chooses an endpoint, sends the call there, and tries
 * another one where that is safe. A request that may have run is repeated only
 * if it may run again; a broken stream continues after its last whole event.
 */

import type { CallService } from "../directory/mod.ts";
import { createFingerprint } from "../quarantine/mod.ts";
import { startAttempt } from "./attempt.ts";
import type { Attempt, AttemptOutcome } from "./attempt.ts";
import type { Call } from "./call.ts";
import type { CallerAnswer } from "./caller_answer.ts";
import { chooseEndpoint } from "./choose_endpoint.ts";
import type { Choice, EndpointView } from "./choose_endpoint.ts";
import type { GatewayContext } from "./gateway_context.ts";
import { STATUS_NOT_RUN, STATUS_TIMEOUT, STATUS_UNKNOWN } from "./refusal.ts";
import { viewEndpoints } from "./view_endpoints.ts";

/** Connections may fail at several endpoints in a row when a zone is lost. */
const MAX_UNSENT = 3;
/** An endpoint that is full says so at once; others may have room. */
const MAX_NOT_RUN = 2;
/** Less time than this is no use to an endpoint. */
const MIN_REMAINING_MS = 20;
/** A first event that is this late means a stalled endpoint. */
const FIRST_EVENT_TIMEOUT_MS = 1_200;
/** Pauses of a working engine stay well below this. */
const EVENT_GAP_TIMEOUT_MS = 1_000;
/** A plain answer is repeated after this many times its objective. */
const PLAIN_TIMEOUT_OBJECTIVES = 3;
const SERVER_ERROR = 500;

const DEFAULT_RETRY_MS = 300;
/** A route can be published before its service; the next version mends it. */
const UNKNOWN_SERVICE_RETRY_MS = 1_000;
/** Callers that were refused together come back spread over this part more. */
const RETRY_SPREAD = 0.5;

type Reason = string;

interface CallState {
  /** Endpoints that may have run the request. */
  runs: number;
  unsent: number;
  notRun: number;
  readonly tried: Set<string>;
  lastEventId: string | undefined;
  weightVersion: number | undefined;
  /** From the sending of the last attempt to the head of its answer. */
  headMs: number | undefined;
  /** An endpoint's own failure, passed on if nothing better comes. */
  failure: Extract<AttemptOutcome, { type: "answered" }> | undefined;
}

export interface DispatchControl {
  /** The caller has left. */
  cancel(): void;
  readonly done: Promise<void>;
}

export function dispatchCall(
  context: GatewayContext,
  call: Call,
  answer: CallerAnswer,
): DispatchControl {
  let attempt: Attempt | undefined;
  let ended: "cancelled" | "expired" | undefined;

  function end(how: "cancelled" | "expired") {
    ended ??= how;
    attempt?.abort();
  }

  const timer = setTimeout(
    () => end("expired"),
    Math.max(0, call.deadlineMs - context.nowMs()),
  );

  const fingerprint = createFingerprint({
    clientAccount: call.account?.name ?? "",
    method: call.method,
    path: call.path,
    body: call.body,
  });

  async function run() {
    const service = findService(context, call.service);
    if (service === undefined) {
      return refuse(context, {
        call,
        answer,
        reason: "unknown_service",
        retryAfterMs: UNKNOWN_SERVICE_RETRY_MS,
      });
    }
    const quarantinedMs = context.quarantine.remainingMs(fingerprint);
    if (quarantinedMs > 0) {
      return refuse(context, {
        call,
        answer,
        reason: "crashes_endpoints",
        retryAfterMs: quarantinedMs,
      });
    }
    context.budgetOf(service.name).onRequest();
    const pressure = context.pressureOf(service.name);
    const state = createState(call);
    for (;;) {
      const choice = choose(context, { call, service, state });
      if (choice.type === "none") {
        pressure.onRefused();
        return endWithout(context, { call, answer, state, choice });
      }
      pressure.onAdmitted();
      attempt = send(context, { call, service, state, answer, choice });
      const outcome = await track(context, attempt, choice.view);
      logAttempt(context, { call, state, choice, outcome });
      if (isLikelyCrash(outcome)) {
        const { address } = choice.view.endpoint;
        context.onCrash(
          context.quarantine.recordPreliminary(fingerprint, address),
        );
      }
      if (ended === "cancelled") return;
      if (ended === "expired") {
        return endExpired(context, { call, answer, state, outcome });
      }
      const next = settle(context, { call, state, answer, outcome, choice });
      if (next === "end") return;
    }
  }

  const done = run().finally(() => clearTimeout(timer));
  return { cancel: () => end("cancelled"), done };
}

const CRASH_REASONS: ReadonlySet<string> = new Set([
  "ECONNRESET",
  "UND_ERR_SOCKET",
  "cut_off",
]);

/** The endpoint closed the connection of a request that it may have run. */
function isLikelyCrash(outcome: AttemptOutcome): boolean {
  return outcome.type === "lost" && CRASH_REASONS.has(outcome.reason);
}

function createState(call: Call): CallState {
  return {
    runs: 0,
    unsent: 0,
    notRun: 0,
    tried: new Set(),
    lastEventId: call.headers.lastEventId,
    weightVersion: undefined,
    headMs: undefined,
    failure: undefined,
  };
}

function findService(
  context: GatewayContext,
  name: string,
): CallService | undefined {
  return context.directory
    .config()
    ?.services.find((service) => service.name === name);
}

interface Step {
  readonly call: Call;
  readonly service: CallService;
  readonly state: CallState;
}

function choose(context: GatewayContext, step: Step): Choice {
  const { call, service, state } = step;
  const { tried, weightVersion } = state;
  const now = context.nowMs();
  const isFirst = state.runs + state.notRun === 0;
  const objectiveLeftMs = isFirst
    ? call.route.objectiveMs - (now - call.receivedAtMs)
    : call.deadlineMs - now;
  return chooseEndpoint(
    viewEndpoints(context, { call, service, tried, weightVersion }),
    {
      service,
      promptTokens: call.headers.promptTokens ?? 0,
      objectiveLeftMs,
      random: context.random,
    },
  );
}

function isRepeatable({ route }: Call): boolean {
  return route.kind === "idempotent" || route.isResumable;
}

function send(
  context: GatewayContext,
  options: Step & {
    readonly answer: CallerAnswer;
    readonly choice: Extract<Choice, { type: "send" }>;
  },
): Attempt {
  const { call, state, answer, choice } = options;
  const { endpoint, weightVersion } = choice.view;
  const { route, headers } = call;
  const remainingMs = call.deadlineMs - context.nowMs();
  const isStream = route.kind === "stream";
  const canRepeat = isRepeatable(call) && state.runs + 1 < route.maxAttempts;
  const patience = canRepeat
    ? isStream
      ? { firstMs: FIRST_EVENT_TIMEOUT_MS, gapMs: EVENT_GAP_TIMEOUT_MS }
      : repeatPlainAfter(route.objectiveMs)
    : { firstMs: remainingMs + 1_000, gapMs: remainingMs + 1_000 };
  const load = context.loads.begin(endpoint.address, headers.promptTokens ?? 0);
  const sentAtMs = context.nowMs();
  state.headMs = undefined;
  context.rates.count(endpoint.id);
  const attempt = startAttempt({
    connections: context.connections,
    codec: context.codec,
    address: endpoint.address,
    attemptId: headers.attemptId,
    method: call.method,
    path: call.path,
    headers: context.codec.writeForward(call.rawHeaders, {
      remainingMs,
      endpointId: endpoint.id,
      account: call.account?.name,
      weightVersion,
      lastEventId: state.lastEventId,
    }),
    body: call.body,
    isFresh: route.kind === "non_idempotent",
    firstByteTimeoutMs: patience.firstMs,
    silenceTimeoutMs: patience.gapMs,
    isStream,
    onHead() {
      load.onStart();
      state.headMs = Math.round(context.nowMs() - sentAtMs);
    },
    onEvents(events, head) {
      state.lastEventId = events.lastId ?? state.lastEventId;
      state.weightVersion ??= weightVersion;
      answer.sendEvents(head.status, head.headers, events.bytes);
    },
  });
  void attempt.outcome.then(() => load.end());
  return attempt;
}

function repeatPlainAfter(objectiveMs: number) {
  const ms = objectiveMs * PLAIN_TIMEOUT_OBJECTIVES;
  return { firstMs: ms, gapMs: ms };
}

/** Lists the attempt while it is under way, so that a lost endpoint ends it. */
async function track(
  context: GatewayContext,
  attempt: Attempt,
  { endpoint }: EndpointView,
): Promise<AttemptOutcome> {
  const { attempts } = context;
  const under = attempts.get(endpoint.address) ?? new Set();
  attempts.set(endpoint.address, under);
  under.add(attempt);
  const outcome = await attempt.outcome;
  under.delete(attempt);
  if (under.size === 0) attempts.delete(endpoint.address);
  return outcome;
}

interface Settling {
  readonly call: Call;
  readonly state: CallState;
  readonly answer: CallerAnswer;
  readonly outcome: AttemptOutcome;
  readonly choice: Extract<Choice, { type: "send" }>;
}

/** Answers the caller, or decides to try once more. */
function settle(context: GatewayContext, options: Settling): "end" | "again" {
  const { call, state, answer, outcome, choice } = options;
  const { id } = choice.view.endpoint;
  state.tried.add(id);
  switch (outcome.type) {
    case "not_sent":
      context.suspicion.onUnreachable(id);
      state.unsent += 1;
      if (state.unsent <= MAX_UNSENT) return "again";
      break;
    case "not_run":
      state.notRun += 1;
      if (state.notRun <= MAX_NOT_RUN && takeRetry(context, call)) {
        return "again";
      }
      break;
    case "lost":
      context.suspicion.onUnreachable(id);
      state.runs += 1;
      if (mayRepeat(context, options)) return "again";
      break;
    case "answered":
      state.runs += 1;
      return settleAnswer(context, { ...options, outcome });
    case "aborted":
      break;
  }
  endFailed(context, { call, state, answer, reason: outcome.type });
  return "end";
}

function settleAnswer(
  context: GatewayContext,
  options: Settling & {
    readonly outcome: Extract<AttemptOutcome, { type: "answered" }>;
  },
): "end" | "again" {
  const { call, state, answer, outcome, choice } = options;
  const { status, headers, body } = outcome;
  const { id } = choice.view.endpoint;
  if (status < SERVER_ERROR) context.suspicion.onSuccess(id);
  else context.suspicion.onFailure(id);
  if (body === undefined) {
    answer.endStream(status, headers);
    logEnd(context, call, { outcome: "answered", status });
    return "end";
  }
  if (status >= SERVER_ERROR) {
    state.failure = outcome;
    if (mayRepeat(context, options)) return "again";
  }
  if (answer.hasBegun()) answer.breakOff();
  else answer.sendWhole(status, headers, body);
  logEnd(context, call, { outcome: "answered", status });
  return "end";
}

function mayRepeat(
  context: GatewayContext,
  { call, state, answer }: Settling,
): boolean {
  if (!isRepeatable(call) || state.runs >= call.route.maxAttempts) return false;
  if (!answer.isOpen()) return false;
  const remainingMs = call.deadlineMs - context.nowMs();
  return remainingMs > MIN_REMAINING_MS && takeRetry(context, call);
}

function takeRetry(context: GatewayContext, call: Call): boolean {
  return context.budgetOf(call.service).take();
}

interface Ending {
  readonly call: Call;
  readonly state: CallState;
  readonly answer: CallerAnswer;
}

/** No endpoint can take the call now. */
function endWithout(
  context: GatewayContext,
  options: Ending & { readonly choice: Extract<Choice, { type: "none" }> },
) {
  const { choice, ...ending } = options;
  endFailed(context, { ...ending, reason: choice.reason, choice });
}

function endFailed(
  context: GatewayContext,
  options: Ending & {
    readonly reason: Reason;
    readonly choice?: Extract<Choice, { type: "none" }>;
  },
) {
  const { call, state, answer, reason, choice } = options;
  if (answer.hasBegun()) {
    answer.breakOff();
    return logEnd(context, call, { outcome: "broken_off", reason });
  }
  if (state.failure?.body !== undefined) {
    const { status, headers, body } = state.failure;
    answer.sendWhole(status, headers, body);
    return logEnd(context, call, { outcome: "failed", reason, status });
  }
  if (state.runs > 0) {
    answer.refuse({ status: STATUS_UNKNOWN, reason });
    return logEnd(context, call, { outcome: "unknown", reason });
  }
  const retryAfterMs =
    choice === undefined
      ? DEFAULT_RETRY_MS
      : context.pressureOf(call.service).computeDelayMs();
  refuse(context, { call, answer, reason, retryAfterMs, choice });
}

function refuse(
  context: GatewayContext,
  options: Pick<Ending, "call" | "answer"> & {
    readonly reason: Reason;
    readonly retryAfterMs: number;
    readonly choice?: Extract<Choice, { type: "none" }> | undefined;
  },
) {
  const { call, answer, reason, choice } = options;
  const spread = 1 + RETRY_SPREAD * context.random();
  const retryAfterMs = Math.round(options.retryAfterMs * spread);
  answer.refuse({ status: STATUS_NOT_RUN, reason, retryAfterMs });
  logEnd(context, call, {
    outcome: "refused",
    reason,
    retryAfterMs,
    ...(choice !== undefined && {
      listedEndpoints: choice.listedEndpoints,
      usableEndpoints: choice.usableEndpoints,
      forecastMs: choice.forecastMs,
      refusedShare: context.pressureOf(call.service).share(),
    }),
    configVersion: call.configVersion,
    directoryAgeMs: Math.round(context.directory.ageMs()),
  });
}

function endExpired(
  context: GatewayContext,
  options: Ending & { readonly outcome: AttemptOutcome },
) {
  const { call, state, answer, outcome } = options;
  if (answer.hasBegun()) {
    answer.breakOff();
    return logEnd(context, call, { outcome: "broken_off", reason: "deadline" });
  }
  const hasRun = state.runs > 0 || outcome.type !== "not_sent";
  answer.refuse({
    status: hasRun ? STATUS_TIMEOUT : STATUS_NOT_RUN,
    reason: "deadline",
  });
  logEnd(context, call, { outcome: "expired", hasRun });
}

function logAttempt(
  context: GatewayContext,
  options: Omit<Settling, "answer">,
) {
  const { call, state, choice, outcome } = options;
  const { endpoint, load, weightVersion } = choice.view;
  const { type, ...details } = outcome;
  context.logger.info(
    {
      id: call.id,
      endpoint: endpoint.id,
      address: endpoint.address,
      requests: load.requests,
      unreadTokens: load.unreadTokens,
      promptTokens: call.headers.promptTokens,
      forecastMs: Math.round(choice.forecastMs),
      headMs: state.headMs,
      weightVersion,
      configVersion: call.configVersion,
      directoryAgeMs: Math.round(context.directory.ageMs()),
      outcome: type,
      ...("reason" in details && { reason: details.reason }),
      ...("status" in details && { status: details.status }),
      elapsedMs: Math.round(context.nowMs() - call.receivedAtMs),
    },
    "attempt ended",
  );
}

function logEnd(
  context: GatewayContext,
  call: Call,
  details: Readonly<Record<string, unknown>> & { readonly outcome: string },
) {
  context.registry
    .counter("calls_total", "Calls by route kind, outcome and reason")
    .increment({
      kind: call.route.kind,
      outcome: details.outcome,
      reason: String(details["reason"] ?? ""),
    });
  context.logger.info(
    {
      id: call.id,
      route: call.route.name,
      service: call.service,
      account: call.account?.name,
      ...details,
      elapsedMs: Math.round(context.nowMs() - call.receivedAtMs),
    },
    "call ended",
  );
}
