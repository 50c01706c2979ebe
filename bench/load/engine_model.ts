/**
 * A model engine by its published figures. It works in passes of a few decode
 * steps for all requests whose prompts are read, and each pass gives each of
 * them one event. Before each step it reads prompts of the requests that have a
 * slot; a request takes part from the pass after its prompt is read.
 */

import { createWaitingRequests } from "./endpoint_model.ts";
import type {
  EndpointModel,
  EndpointModelOptions,
  EndpointRequest,
} from "./endpoint_model.ts";

export interface EngineFigures {
  readonly slots: number;
  readonly maxWaiting: number;
  readonly stepMs: number;
  readonly stepMsPerSequence: number;
  readonly stepMsPerThousandContextTokens: number;
  readonly readTokensPerS: number;
  readonly maxReadTokensPerStep: number;
  readonly stepsPerPass: number;
}

export interface EngineModel extends EndpointModel {
  readonly slots: number;
  /** Time to the first event of one more request, if no other one arrives. */
  forecastFirstEvent(): FirstEventForecast;
}

export interface FirstEventForecast {
  /** Of a request without a prompt. */
  readonly emptyMs: number;
  readonly msPerToken: number;
}

interface SlottedRequest {
  readonly request: EndpointRequest;
  unreadTokens: number;
  contextTokens: number;
  eventsLeft: number;
  lastEventAtMs: number | undefined;
  longestPauseMs: number;
}

export function createEngineModel(
  figures: EngineFigures,
  { queue, readSlowdown }: EndpointModelOptions,
): EngineModel {
  const { slots, stepsPerPass, readTokensPerS } = figures;
  const waiting = createWaitingRequests(queue, figures.maxWaiting);
  let slotted: SlottedRequest[] = [];
  let decoding: readonly SlottedRequest[] = [];
  let stepsLeft = 0;
  let isIdle = true;
  let stepEndsAtMs = 0;

  function takeSlot(request: EndpointRequest) {
    const item: SlottedRequest = {
      request,
      unreadTokens: request.promptTokens,
      contextTokens: request.promptTokens,
      eventsLeft: request.eventCount,
      lastEventAtMs: undefined,
      longestPauseMs: 0,
    };
    slotted.push(item);
    queue.schedule(request.deadlineMs, () => cut(item));
  }

  function cut(item: SlottedRequest) {
    if (item.eventsLeft === 0) return;
    item.eventsLeft = 0;
    slotted = slotted.filter((other) => other !== item);
    decoding = decoding.filter((other) => other !== item);
    item.request.onCut();
    fillSlots();
  }

  function fillSlots() {
    while (slotted.length < slots) {
      const next = waiting.shift();
      if (next === undefined) return;
      takeSlot(next);
    }
  }

  /** Returns the number of tokens that are read before the next step. */
  function readPrompts(): number {
    let readTokens = 0;
    for (const item of slotted) {
      const left = figures.maxReadTokensPerStep - readTokens;
      const tokens = Math.min(left, item.unreadTokens);
      item.unreadTokens -= tokens;
      readTokens += tokens;
    }
    return readTokens;
  }

  function computeStepMs(items: readonly SlottedRequest[]): number {
    if (items.length === 0) return 0;
    const contextTokens = items.reduce(
      (sum, item) => sum + item.contextTokens,
      0,
    );
    return (
      figures.stepMs +
      items.length * figures.stepMsPerSequence +
      (contextTokens / 1_000) * figures.stepMsPerThousandContextTokens
    );
  }

  function startStep() {
    if (stepsLeft === 0 || decoding.length === 0) {
      decoding = slotted.filter(({ unreadTokens }) => unreadTokens === 0);
      stepsLeft = decoding.length === 0 ? 0 : stepsPerPass;
    }
    const readTokens = readPrompts();
    isIdle = readTokens === 0 && decoding.length === 0;
    if (isIdle) {
      stepsLeft = 0;
      return;
    }
    const usualMs =
      (readTokens / readTokensPerS) * 1_000 + computeStepMs(decoding);
    stepEndsAtMs = queue.nowMs() + usualMs * readSlowdown();
    queue.schedule(stepEndsAtMs, endStep);
  }

  function endStep() {
    if (stepsLeft > 0) {
      stepsLeft -= 1;
      if (stepsLeft === 0) endPass();
    }
    startStep();
  }

  function endPass() {
    const now = queue.nowMs();
    const ended = decoding.filter((item) => {
      item.eventsLeft -= 1;
      item.contextTokens += stepsPerPass;
      if (item.lastEventAtMs !== undefined) {
        const pauseMs = now - item.lastEventAtMs;
        item.longestPauseMs = Math.max(item.longestPauseMs, pauseMs);
      }
      const isFirst = item.lastEventAtMs === undefined;
      item.lastEventAtMs = now;
      if (isFirst) item.request.onFirstEvent();
      return item.eventsLeft === 0;
    });
    if (ended.length === 0) return;
    slotted = slotted.filter(({ eventsLeft }) => eventsLeft > 0);
    ended.forEach(({ request, longestPauseMs }) =>
      request.onEnd(longestPauseMs),
    );
    fillSlots();
  }

  return {
    slots,
    offer(request) {
      if (slotted.length >= slots) return waiting.add(request);
      takeSlot(request);
      if (isIdle) startStep();
    },
    running: () => slotted.length,
    waiting: waiting.size,
    forecastFirstEvent() {
      const unreadTokens = slotted.reduce(
        (sum, item) => sum + item.unreadTokens,
        0,
      );
      const slowdown = readSlowdown();
      const msPerToken = (1_000 / readTokensPerS) * slowdown;
      const stepMs = computeStepMs(slotted) || figures.stepMs;
      const residualMs = isIdle
        ? 0
        : stepEndsAtMs -
          queue.nowMs() +
          Math.max(0, stepsLeft - 1) * computeStepMs(decoding) * slowdown;
      return {
        emptyMs:
          residualMs +
          unreadTokens * msPerToken +
          stepMs * stepsPerPass * slowdown,
        msPerToken,
      };
    },
  };
}
