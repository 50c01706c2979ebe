/**
 * Handles one request from an entry: checks and admits it, hands it off to the
 * endpoint, and passes the answer back.
 */

import type { Slot } from "../admission/mod.ts";
import type { PlainService } from "../document/mod.ts";
import type { Peer, RequestHead, Stream, Trailer } from "../wire/mod.ts";
import { checkRequest, detectPause } from "./check_request.ts";
import { handOff } from "./hand_off.ts";
import { checkKey, toKeyCheck } from "./key_check.ts";
import type { KeyCheck, KeyCheckOptions, TimedKey } from "./key_check.ts";
import { isListedAtOtherAddress } from "./own_listing.ts";
import { createRefusal, createUnknownOutcome } from "./refusal.ts";
import { addEngineFields, drainBody, readBody } from "./request_body.ts";
import type { RequestContext } from "./request_context.ts";
import { findService, isRouteRepeatable } from "./service_config.ts";

/**
 * Bounds the delay of a request if the entry does not send its configuration.
 */
const FETCH_CONFIG_TIMEOUT_MS = 1_000;
const RETRY_AFTER_MS = 500;
const SUSPECT_WAIT_REFUSAL = createRefusal(
  "deadline_exceeded",
  "Other requests that crashed an endpoint run here",
);

export async function handleRequest(
  peer: Peer,
  stream: Stream,
  context: RequestContext,
): Promise<void> {
  const head = stream.head as RequestHead;
  const arrivedMs = context.clock.monotonicMs();
  const readRemainingMs = () =>
    head.remainingMs - (context.clock.monotonicMs() - arrivedMs);

  await fetchNewerConfig(peer, head, context);
  // Detecting a pause raises the key floor, which must precede the key lookup.
  detectPause(context);
  const keyedService = findKeyedService(head, context);
  // Without a configuration only the request head says that the request must
  // not be repeated.
  const isKeyedWithoutConfig =
    context.node.view.config() === undefined && !head.repeatable;
  const keyCheck =
    keyedService !== undefined || isKeyedWithoutConfig
      ? checkKey(head, createKeyOptions(keyedService, context))
      : undefined;
  if (keyCheck !== undefined && endKnownKey(stream, keyCheck, context)) return;
  const refusal =
    checkRequest(head, context) ??
    (keyedService && checkRunner(head, context)) ??
    checkAdmission(head, readRemainingMs(), context);
  if (refusal !== undefined) return refuse(stream, refusal, context);

  const body = await readBody(stream);
  if (body.isErr()) {
    if (body.error === "lost") return countCallerLeft(context);
    const tooLarge = createRefusal("body_too_large", "The body is too large");
    return refuse(stream, tooLarge, context);
  }
  const isLanguage = context.control.digest() !== undefined;
  const engineBody = isLanguage
    ? addEngineFields(body.value, head)
    : body.value;
  if (engineBody === undefined) {
    const malformed = createRefusal(
      "bad_request",
      "The body is not a JSON object",
    );
    return refuse(stream, malformed, context);
  }
  const newKey = keyCheck?.type === "new" ? keyCheck : undefined;
  await runWithKey(stream, newKey, {
    context,
    body: engineBody,
    arrivedMs,
    readRemainingMs,
  });
}

interface ReceivedRequest {
  readonly context: RequestContext;
  readonly body: Uint8Array;
  readonly arrivedMs: number;
  readonly readRemainingMs: () => number;
}

/** Reserves the idempotency key, if any, while the request may run. */
async function runWithKey(
  stream: Stream,
  newKey: TimedKey | undefined,
  received: ReceivedRequest,
): Promise<void> {
  const { context } = received;
  const head = stream.head as RequestHead;
  if (newKey !== undefined) {
    const { key, keyTimeMs } = newKey;
    // Another request may have reserved the key while the body arrived.
    const decision = context.keyTable.claim(key, keyTimeMs, head.fingerprint);
    context.counters.keyDecisions.increment({ decision: decision.type });
    if (endKnownKey(stream, toKeyCheck(decision, newKey), context)) return;
  }
  const permit = await context.crashDetector.waitForPermit(
    head.fingerprint,
    received.readRemainingMs(),
  );
  const slot = permit && (await waitForSlot(stream, received));
  if (slot === undefined || permit === undefined) {
    permit?.release();
    if (newKey !== undefined) context.keyTable.release(newKey.key);
    if (permit === undefined) refuse(stream, SUSPECT_WAIT_REFUSAL, context);
    return;
  }
  context.counters.handOffMs.record(
    context.clock.monotonicMs() - received.arrivedMs,
  );
  await handOff(stream, {
    context,
    slot,
    permit,
    body: received.body,
    key: newKey?.key,
    remainingMs: received.readRemainingMs(),
  });
}

async function waitForSlot(
  stream: Stream,
  { context, readRemainingMs }: ReceivedRequest,
): Promise<Slot | undefined> {
  const head = stream.head as RequestHead;
  let hasCallerLeft = false;
  const ticket = context.admission.admit({
    priority: computePriority(head),
    remainingMs: readRemainingMs(),
  });
  stream.onLost(() => {
    hasCallerLeft = true;
    ticket.cancel();
  });
  const admitted = await ticket.result;
  if (hasCallerLeft) {
    admitted.map((slot) => slot.release("neutral"));
    countCallerLeft(context);
    return undefined;
  }
  if (admitted.isErr()) {
    const { code, message, retryAfterMs } = admitted.error;
    refuse(stream, createRefusal(code, message, retryAfterMs), context);
    return undefined;
  }
  const refusal = checkRequest(head, context);
  if (refusal === undefined) return admitted.value;
  admitted.value.release("neutral");
  refuse(stream, refusal, context);
  return undefined;
}

/** Fetches the entry's configuration if it is newer than this agent's. */
async function fetchNewerConfig(
  peer: Peer,
  head: RequestHead,
  { node }: RequestContext,
): Promise<void> {
  const heldVersion = node.view.config()?.version ?? 0;
  if (head.configVersion <= heldVersion) return;
  let timer: NodeJS.Timeout | undefined;
  const timeout = new Promise<void>((resolve) => {
    timer = setTimeout(resolve, FETCH_CONFIG_TIMEOUT_MS);
  });
  await Promise.race([node.fetchConfig(peer, head.configVersion), timeout]);
  clearTimeout(timer);
}

/**
 * Refuses a non-repeatable request while another process may be the runner of
 * its key: the entry's newer configuration may name another host, and the host
 * list may give the address of a replacement of this one.
 */
function checkRunner(
  head: RequestHead,
  { node }: RequestContext,
): Trailer | undefined {
  if (head.configVersion > (node.view.config()?.version ?? 0)) {
    return createRefusal(
      "no_configuration",
      "The agent could not get the entry's configuration",
      RETRY_AFTER_MS,
    );
  }
  if (!isListedAtOtherAddress(node)) return undefined;
  // The replacement may have run a request with this key.
  const message = "The host list gives this host another address";
  const trailer = createUnknownOutcome("runner_unreachable", message);
  return { ...trailer, retryAfterMs: RETRY_AFTER_MS };
}

/**
 * A request whose endpoint was lost takes priority over all new ones: a refusal
 * would discard the part of the answer that its caller already has and leave
 * the outcome unknown. Their number is bounded by the requests that were in
 * progress at the lost endpoint.
 */
function computePriority({ priority, hasLostEndpoint }: RequestHead): number {
  return hasLostEndpoint === true ? Infinity : priority;
}

/** Refuses before the body is read if admission would refuse anyway. */
function checkAdmission(
  head: RequestHead,
  remainingMs: number,
  { admission }: RequestContext,
): Trailer | undefined {
  const priority = computePriority(head);
  const refusal = admission.findRefusal({ priority, remainingMs });
  if (refusal === undefined) return undefined;
  return createRefusal(refusal.code, refusal.message, refusal.retryAfterMs);
}

function findKeyedService(
  head: RequestHead,
  { node, service }: RequestContext,
): PlainService | undefined {
  const config = node.view.config();
  const found = config && findService(config.document, service);
  if (found?.kind !== "plain" || head.service !== service) return undefined;
  const isRepeatable =
    head.repeatable && isRouteRepeatable(found, head.method, head.path);
  return isRepeatable ? undefined : found;
}

function createKeyOptions(
  service: PlainService | undefined,
  context: RequestContext,
): KeyCheckOptions {
  const { node, keyTable, keyFloor, clock } = context;
  return {
    service,
    host: node.identity.host,
    table: keyTable,
    floor: keyFloor,
    wallMs: clock.wallMs,
    configConfirmedAtMs: () => node.view.configConfirmedAtMs(),
    isClockSkewed: node.isClockSkewed,
  };
}

/** Ends the stream if the key is already decided; false for a new key. */
function endKnownKey(
  stream: Stream,
  check: KeyCheck,
  context: RequestContext,
): boolean {
  if (check.type === "refuse") refuse(stream, check.trailer, context);
  if (check.type === "replay") void replayAnswer(stream, check, context);
  return check.type !== "new";
}

async function replayAnswer(
  stream: Stream,
  { response }: Extract<KeyCheck, { type: "replay" }>,
  { counters, node }: RequestContext,
): Promise<void> {
  counters.keyDecisions.increment({ decision: "replayed" });
  const { incarnation } = node.identity;
  stream.send({ kind: "accepted", incarnation });
  const { status, headers, body } = response;
  stream.send({ kind: "response_head", status, headers });
  await stream.write(body);
  counters.outcomes.increment({ outcome: "answered", code: "replayed" });
  stream.end({ outcome: "answered" });
  await drainBody(stream);
}

function refuse(stream: Stream, trailer: Trailer, context: RequestContext) {
  const { counters } = context;
  const { outcome, code = "" } = trailer;
  counters.refusals.increment({ code });
  counters.outcomes.increment({ outcome, code });
  stream.end(trailer);
  void drainBody(stream);
}

function countCallerLeft({ counters }: RequestContext) {
  counters.refusals.increment({ code: "caller_left" });
}
