/**
 * The endpoints of a run with their conditions: slow, away for a version
 * switch, or cold after a start.
 */

import type { Deployment, RouteFigures } from "./deployments.ts";
import { createEngineModel } from "./engine_model.ts";
import type { EngineModel } from "./engine_model.ts";
import type { EndpointModel, EndpointRequest } from "./endpoint_model.ts";
import type { KnownEndpoint, LoadStatement } from "./entry_policy.ts";
import type { EventQueue } from "./event_queue.ts";
import { createPlainModel } from "./plain_model.ts";
import { computeColdLimitPerS, listEndpoint } from "./published_state.ts";

/** Factor of an endpoint's times as it starts; falls to 1 while it is cold. */
const START_SLOWDOWN = 3;
const COLD_WINDOW_MS = 1_000;

export interface SimulatedEndpoint extends KnownEndpoint {
  readonly model: EndpointModel;
  /** Undefined for a plain endpoint. */
  readonly engine: EngineModel | undefined;
  readonly isOpen: () => boolean;
  setOpen(isOpen: boolean): void;
  /** Called after `setOpen`. */
  onOpenChange(handler: () => void): void;
  /** From now on the endpoint is cold for the published time. */
  startCold(): void;
  setSlowness(factor: number, isStated: boolean): void;
  isSlow(): boolean;
  /** Of its work, whether it states that or not. */
  slowdown(): number;
  statedSlowdown(): number;
  statement(): LoadStatement;
  offer(request: EndpointRequest): void;
  /** Requests that have arrived, whether they were taken or not. */
  arrivals(): number;
  arrivalsWhileSlow(): number;
}

export interface EndpointOptions {
  readonly index: number;
  readonly service: RouteFigures["service"];
  readonly deployment: Deployment;
  readonly queue: EventQueue;
}

export function createEndpoints(
  deployment: Deployment,
  queue: EventQueue,
): readonly SimulatedEndpoint[] {
  const { modelEndpoints, plainEndpoints } = deployment;
  return Array.from({ length: modelEndpoints + plainEndpoints }, (_, index) =>
    createEndpoint({
      index,
      service: index < modelEndpoints ? "model" : "plain",
      deployment,
      queue,
    }),
  );
}

function createEndpoint(options: EndpointOptions): SimulatedEndpoint {
  const { index, service, deployment, queue } = options;
  const { nowMs } = queue;
  const coldLimit = computeColdLimitPerS(deployment);
  const handlers: (() => void)[] = [];
  let isOpen = true;
  let coldUntilMs = -Infinity;
  let slowness = { factor: 1, isStated: true };
  let takenWhileColdMs: readonly number[] = [];
  let arrivals = 0;
  let arrivalsWhileSlow = 0;

  function readColdSlowdown(): number {
    const leftMs = Math.max(0, coldUntilMs - nowMs());
    return 1 + ((START_SLOWDOWN - 1) * leftMs) / deployment.coldMs;
  }

  function readSlowdown(): number {
    return slowness.factor * readColdSlowdown();
  }

  function statedSlowdown(): number {
    return slowness.isStated ? readSlowdown() : readColdSlowdown();
  }

  /** Counts the request if it is within the limit. */
  function isWithinColdLimit(): boolean {
    if (nowMs() >= coldUntilMs) return true;
    takenWhileColdMs = takenWhileColdMs.filter(
      (time) => nowMs() - time < COLD_WINDOW_MS,
    );
    if (takenWhileColdMs.length >= coldLimit) return false;
    takenWhileColdMs = [...takenWhileColdMs, nowMs()];
    return true;
  }

  const modelOptions = { queue, readSlowdown };
  const engine =
    service === "model"
      ? createEngineModel(deployment.engine, modelOptions)
      : undefined;
  const model = engine ?? createPlainModel(deployment.plain, modelOptions);
  const { slots } = service === "model" ? deployment.engine : deployment.plain;

  const dataCentre = index % deployment.dataCentres;
  return {
    index,
    service,
    dataCentre,
    slots,
    listed: listEndpoint({ index, service, dataCentre, slots }),
    model,
    engine,
    isOpen: () => isOpen,
    setOpen(value) {
      isOpen = value;
      handlers.forEach((handler) => handler());
    },
    onOpenChange: (handler) => void handlers.push(handler),
    startCold: () => void (coldUntilMs = nowMs() + deployment.coldMs),
    setSlowness: (factor, isStated) => void (slowness = { factor, isStated }),
    isSlow: () => slowness.factor > 1,
    slowdown: readSlowdown,
    statedSlowdown,
    statement: () => ({
      running: model.running(),
      waiting: model.waiting(),
      slots,
      slowdown: deployment.statesSlowdown ? statedSlowdown() : undefined,
    }),
    offer(request) {
      arrivals += 1;
      if (slowness.factor > 1) arrivalsWhileSlow += 1;
      if (isOpen && isWithinColdLimit()) model.offer(request);
      else request.onNotRun();
    },
    arrivals: () => arrivals,
    arrivalsWhileSlow: () => arrivalsWhileSlow,
  };
}
