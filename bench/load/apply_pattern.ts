/** Changes the conditions of the endpoints over the course of a run. */

import type { Random } from "../random.ts";
import type { SimulatedEndpoint } from "./endpoints.ts";
import type { EventQueue } from "./event_queue.ts";
import { END_OF_ARRIVALS_MS } from "./patterns.ts";
import type { Pattern, Slowness } from "./patterns.ts";

export interface PatternTargets {
  readonly endpoints: readonly SimulatedEndpoint[];
  readonly queue: EventQueue;
  readonly random: Random;
}

export function applyPattern(pattern: Pattern, targets: PatternTargets) {
  const { queue, random } = targets;
  const models = targets.endpoints.filter(({ service }) => service === "model");
  const { slowness, starts, switches } = pattern;
  if (slowness !== undefined) applySlowness(slowness, targets);
  if (starts !== undefined) {
    const chosen = pickShare(models, starts.share, random);
    queue.schedule(0, () => chosen.forEach((e) => e.setOpen(false)));
    queue.schedule(starts.atMs, () =>
      chosen.forEach((endpoint) => {
        endpoint.startCold();
        endpoint.setOpen(true);
      }),
    );
  }
  if (switches !== undefined) {
    const chosen = pickShare(models, switches.share, random);
    const setOpen = (isOpen: boolean) => () =>
      chosen.forEach((endpoint) => endpoint.setOpen(isOpen));
    queue.schedule(switches.fromMs, setOpen(false));
    queue.schedule(switches.toMs, setOpen(true));
  }
}

function applySlowness(slowness: Slowness, targets: PatternTargets) {
  const { endpoints, queue, random } = targets;
  const { share, factor, changeMs, isStated } = slowness;
  const all = endpoints.filter(({ service }) => service === slowness.service);

  function change() {
    const former = all.filter((endpoint) => endpoint.isSlow());
    former.forEach((endpoint) => endpoint.setSlowness(1, true));
    const others = all.filter((endpoint) => !former.includes(endpoint));
    const count = Math.max(1, Math.round(all.length * share));
    pickCount(others, count, random).forEach((endpoint) =>
      endpoint.setSlowness(factor, isStated),
    );
    const nextMs = queue.nowMs() + changeMs;
    if (nextMs < END_OF_ARRIVALS_MS) queue.schedule(nextMs, change);
  }

  queue.schedule(0, change);
}

function pickShare<T>(
  items: readonly T[],
  share: number,
  random: Random,
): readonly T[] {
  return pickCount(items, Math.round(items.length * share), random);
}

function pickCount<T>(
  items: readonly T[],
  count: number,
  random: Random,
): readonly T[] {
  return items
    .map((item) => ({ item, order: random() }))
    .sort((a, b) => a.order - b.order)
    .slice(0, count)
    .map(({ item }) => item);
}
