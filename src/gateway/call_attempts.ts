/**
 * The attempts of one call that are in progress. Usually it is one. While its
 * endpoint is silent, the call may be sent to another one as well. The silent
 * attempt goes on meanwhile: however long the other endpoint takes, it may still
 * reject the call. The first attempt with events for the caller ends the others.
 */

import type { Choice } from "../scheduling/mod.ts";
import type { Attempt } from "./attempt.ts";
import type {
  CallState,
  ChosenEndpoint,
  FinishedAttempt,
  PendingCall,
} from "./call_state.ts";
import type { CallerResponse } from "./caller_response.ts";
import { logAttempt } from "./end_call.ts";
import type { GatewayContext } from "./gateway_context.ts";
import { QUARANTINED_REASON, SUPERSEDED_REASON } from "./handle_outcome.ts";
import { sendAttempt } from "./send_attempt.ts";
import type { SentAttempt } from "./send_attempt.ts";
import { createTakeover } from "./takeover.ts";

export interface CallAttempts {
  start(choice: ChosenEndpoint): void;
  /** Resolves with the next attempt to end, which is then no longer counted. */
  waitForEnd(): Promise<FinishedAttempt>;
  countRunning(): number;
  /** The endpoint has rejected the call while another attempt goes on. */
  onRejected(endpointId: string): void;
  /** Ends all attempts, as the caller needs no response any more. */
  abort(): void;
  /** Ends all attempts; the outcomes tell which have been sent. */
  fail(reason: string): void;
  /** Ends and logs all attempts: the call has its response. */
  close(): void;
}

export interface CallAttemptsOptions extends PendingCall {
  readonly response: CallerResponse;
  readonly chooseEndpoint: (state: CallState) => Choice;
}

interface RunningAttempt {
  readonly attempt: SentAttempt;
  readonly choice: ChosenEndpoint;
}

export function createCallAttempts(
  context: GatewayContext,
  options: CallAttemptsOptions,
): CallAttempts {
  const { call, service, state, response, chooseEndpoint } = options;
  const promptParts = call.headers.sharedPromptParts ?? [];
  /** Also those that have ended and have not been returned yet. */
  const running = new Set<RunningAttempt>();
  const ended: (Pick<FinishedAttempt, "outcome"> & {
    readonly started: RunningAttempt;
  })[] = [];
  let onEnd = () => {};
  const takeover = createTakeover(context, {
    ...{ call, state, response, chooseEndpoint },
    listRunning: () =>
      [...running].map(({ choice }) => choice.view.endpoint.id),
  });

  function start(choice: ChosenEndpoint) {
    if (state.triedEndpoints.size + running.size === 0) {
      context.promptPartQuarantine.recordSend(promptParts);
    }
    const attempt = sendAttempt(context, {
      ...{ call, service, state, response, choice },
      otherAttempts: running.size,
      onSilence: () => onSilence(started),
      onEvents: () => endOthers(started),
    });
    const watch = context.promptPartQuarantine.watch(promptParts, () => {
      if (!attempt.hasSurvived()) attempt.fail(QUARANTINED_REASON);
    });
    const started: RunningAttempt = { attempt, choice };
    running.add(started);
    void trackAttempt(context, attempt, choice).then((outcome) => {
      watch.close();
      ended.push({ started, outcome });
      onEnd();
    });
  }

  /** Another attempt that has begun later may still answer sooner. */
  function onSilence(silent: RunningAttempt) {
    if ([...running].at(-1) !== silent) return;
    const next = takeover.choose();
    if (next === undefined) return;
    const { id, address } = next.view.endpoint;
    context.logger.info(
      { id: call.id, endpoint: id, address, silentEndpoints: running.size },
      "endpoint is silent; sending the call to another one as well",
    );
    start(next);
  }

  function endOthers(answering: RunningAttempt) {
    [...running]
      .filter((other) => other !== answering)
      .forEach(({ attempt }) => attempt.fail(SUPERSEDED_REASON));
  }

  return {
    start,
    async waitForEnd() {
      if (ended.length === 0) {
        await new Promise<void>((resolve) => (onEnd = resolve));
      }
      const { started, outcome } = ended.shift()!;
      const { attempt, choice } = started;
      running.delete(started);
      return {
        ...{ call, state, response, choice, outcome },
        headMs: attempt.headMs(),
      };
    },
    countRunning: () => running.size,
    onRejected: takeover.onRejected,
    abort: () => running.forEach(({ attempt }) => attempt.abort()),
    fail: (reason) => running.forEach(({ attempt }) => attempt.fail(reason)),
    close() {
      running.forEach(({ attempt, choice }) => {
        attempt.abort();
        const headMs = attempt.headMs();
        const outcome = { type: "aborted" } as const;
        logAttempt(context, { call, choice, headMs, outcome });
      });
      running.clear();
    },
  };
}

/** Registers the attempt while in flight, so that a lost endpoint ends it. */
async function trackAttempt(
  { attemptsByAddress }: GatewayContext,
  attempt: Attempt,
  { view: { endpoint } }: ChosenEndpoint,
) {
  const inFlight = attemptsByAddress.get(endpoint.address) ?? new Set();
  attemptsByAddress.set(endpoint.address, inFlight);
  inFlight.add(attempt);
  const outcome = await attempt.outcome;
  inFlight.delete(attempt);
  if (inFlight.size === 0) attemptsByAddress.delete(endpoint.address);
  return outcome;
}
