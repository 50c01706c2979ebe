/**
 * One request from an entry: check, admit, hand off to the endpoint, and pass
 * the answer back.
 */

import type { Slot } from "../admission/mod.ts";
import type { PlainService } from "../document/mod.ts";
import type { Peer, RequestHead, Stream, Trailer } from "../wire/mod.ts";
import { checkRequest, isWaking } from "./check_request.ts";
import { handOff } from "./hand_off.ts";
import { checkKey, explainKey } from "./key_check.ts";
import type { KeyCheck, KeyCheckOptions, TimedKey } from "./key_check.ts";
import { isListedElsewhere } from "./own_listing.ts";
import { refuseAs, unknownAs } from "./refusal.ts";
import { addEngineFields, drainBody, readBody } from "./request_body.ts";
import type { RequestContext } from "./request_context.ts";
import { findService, isRouteRepeatable } from "./service_config.ts";

/** A refusal must not be held up by an entry that does not answer. */
const FETCH_CONFIG_LIMIT_MS = 1_000;
const RETRY_MS = 500;
const NO_TURN = refuseAs(
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

  await catchUp(peer, head, context);
  // Notes a pause, so that the key floor is right before a key is looked up.
  isWaking(context);
  const keyed = findKeyedService(head, context);
  // Without a document only the entry knows that the call must not repeat.
  const isBlind = context.node.view.config() === undefined && !head.repeatable;
  const keyCheck =
    keyed !== undefined || isBlind
      ? checkKey(head, createKeyOptions(keyed, context))
      : undefined;
  if (keyCheck !== undefined && endByKey(stream, keyCheck, context)) return;
  const early =
    checkRequest(head, context) ??
    (keyed && checkRunner(head, context)) ??
    checkAdmission(head, readRemainingMs(), context);
  if (early !== undefined) return refuse(stream, early, context);

  const body = await readBody(stream);
  if (body.isErr()) {
    if (body.error === "lost") return countLeft(context);
    const tooLarge = refuseAs("body_too_large", "The body is too large");
    return refuse(stream, tooLarge, context);
  }
  const isLanguage = context.control.digest() !== undefined;
  const sent = isLanguage ? addEngineFields(body.value, head) : body.value;
  if (sent === undefined) {
    const malformed = refuseAs("bad_request", "The body is not a JSON object");
    return refuse(stream, malformed, context);
  }
  const timed = keyCheck?.type === "new" ? keyCheck : undefined;
  await runKeyed(stream, timed, {
    context,
    body: sent,
    arrivedMs,
    readRemainingMs,
  });
}

interface Arrived {
  readonly context: RequestContext;
  readonly body: Uint8Array;
  readonly arrivedMs: number;
  readonly readRemainingMs: () => number;
}

/** Takes the key, if there is one, for as long as the request may run. */
async function runKeyed(
  stream: Stream,
  timed: TimedKey | undefined,
  arrived: Arrived,
): Promise<void> {
  const { context } = arrived;
  const head = stream.head as RequestHead;
  if (timed !== undefined) {
    const { key, keyTimeMs } = timed;
    // The body took time to arrive; the key may have been taken meanwhile.
    const taken = context.keyTable.take(key, keyTimeMs, head.fingerprint);
    context.counters.keys.increment({ decision: taken.type });
    if (endByKey(stream, explainKey(taken, timed), context)) return;
  }
  const turn = await context.crashWatch.waitForTurn(
    head.fingerprint,
    arrived.readRemainingMs(),
  );
  const slot = turn && (await waitForSlot(stream, arrived));
  if (slot === undefined || turn === undefined) {
    turn?.release();
    if (timed !== undefined) context.keyTable.release(timed.key);
    if (turn === undefined) refuse(stream, NO_TURN, context);
    return;
  }
  context.counters.handOffMs.record(
    context.clock.monotonicMs() - arrived.arrivedMs,
  );
  await handOff(stream, {
    context,
    slot,
    turn,
    body: arrived.body,
    key: timed?.key,
    remainingMs: arrived.readRemainingMs(),
  });
}

async function waitForSlot(
  stream: Stream,
  { context, readRemainingMs }: Arrived,
): Promise<Slot | undefined> {
  const head = stream.head as RequestHead;
  let isLost = false;
  const ticket = context.admission.admit({
    priority: readPriority(head),
    remainingMs: readRemainingMs(),
  });
  stream.onLost(() => {
    isLost = true;
    ticket.cancel();
  });
  const admitted = await ticket.result;
  if (isLost) {
    admitted.map((slot) => slot.release("neutral"));
    countLeft(context);
    return undefined;
  }
  if (admitted.isErr()) {
    const { code, message, retryAfterMs } = admitted.error;
    refuse(stream, refuseAs(code, message, retryAfterMs), context);
    return undefined;
  }
  const late = checkRequest(head, context);
  if (late === undefined) return admitted.value;
  admitted.value.release("neutral");
  refuse(stream, late, context);
  return undefined;
}

/** Fetches a configuration that the entry has and this agent does not. */
async function catchUp(
  peer: Peer,
  head: RequestHead,
  { node }: RequestContext,
): Promise<void> {
  const held = node.view.config()?.version ?? 0;
  if (head.configVersion <= held) return;
  let timer: NodeJS.Timeout | undefined;
  const limit = new Promise<void>((resolve) => {
    timer = setTimeout(resolve, FETCH_CONFIG_LIMIT_MS);
  });
  await Promise.race([node.fetchConfig(peer, head.configVersion), limit]);
  clearTimeout(timer);
}

/**
 * A call that must not repeat is refused while another process may be its
 * runner: the entry's newer configuration may name another host, and the host
 * list may name a replacement of this one.
 */
function checkRunner(
  head: RequestHead,
  { node }: RequestContext,
): Trailer | undefined {
  if (head.configVersion > (node.view.config()?.version ?? 0)) {
    return refuseAs(
      "no_configuration",
      "The agent could not get the entry's configuration",
      RETRY_MS,
    );
  }
  if (!isListedElsewhere(node)) return undefined;
  // The replacement may have run the key.
  const message = "The host list gives this host another address";
  const trailer = unknownAs("runner_unreachable", message);
  return { ...trailer, retryAfterMs: RETRY_MS };
}

/**
 * A request that lost its endpoint goes before all new ones: a refusal would
 * cost its caller what it already has, and leave the outcome unknown. There are
 * only as many as were in progress at that endpoint.
 */
function readPriority({ priority, hasLostEndpoint }: RequestHead): number {
  return hasLostEndpoint === true ? Infinity : priority;
}

/** Refuses at once what would be refused after the body has arrived. */
function checkAdmission(
  head: RequestHead,
  remainingMs: number,
  { admission }: RequestContext,
): Trailer | undefined {
  const priority = readPriority(head);
  const refusal = admission.preview({ priority, remainingMs });
  if (refusal === undefined) return undefined;
  return refuseAs(refusal.code, refusal.message, refusal.retryAfterMs);
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

/** Ends the stream by what is known of the key; false for a new key. */
function endByKey(
  stream: Stream,
  check: KeyCheck,
  context: RequestContext,
): boolean {
  if (check.type === "refuse") refuse(stream, check.trailer, context);
  if (check.type === "replay") void replay(stream, check, context);
  return check.type !== "new";
}

async function replay(
  stream: Stream,
  { answer }: Extract<KeyCheck, { type: "replay" }>,
  { counters, node }: RequestContext,
): Promise<void> {
  counters.keys.increment({ decision: "replayed" });
  const { incarnation } = node.identity;
  stream.send({ kind: "accepted", incarnation });
  const { status, headers, body } = answer;
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

function countLeft({ counters }: RequestContext) {
  counters.refusals.increment({ code: "caller_left" });
}
