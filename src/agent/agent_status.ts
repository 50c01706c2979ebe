/** What the agent shows of itself: gauges and the status page. */

import type { Registry } from "../metrics/mod.ts";
import type { RolloutPhase, RolloutTarget } from "../rollout/mod.ts";
import type { Weights } from "../weights/mod.ts";
import type { RequestContext } from "./request_context.ts";

export interface StatusSources {
  readonly context: RequestContext;
  readonly weights: Weights;
  readonly readTarget: () => RolloutTarget | undefined;
  readonly rolloutPhase: () => RolloutPhase;
}

export function registerAgentGauges(
  registry: Registry,
  { context, rolloutPhase }: StatusSources,
): void {
  const { admission, control, keyTable, keyFloor, quarantine } = context;
  const gauges = [
    ["agent_in_flight", "Requests at the endpoint", admission.inFlight],
    ["agent_queued", "Requests that wait for a slot", admission.queued],
    ["agent_limit", "Slots that may be used now", admission.limit],
    ["agent_keys_held", "Idempotency keys in the table", keyTable.size],
    ["agent_key_floor_ms", "Time of the key floor", keyFloor.valueMs],
    ["agent_fingerprints_held", "Crash fingerprints", quarantine.size],
  ] as const;
  gauges.forEach(([name, help, read]) => registry.gauge(name, help, read));
  registry.gauge("agent_phase", "1 for the current phase", () => [
    { labels: { phase: control.phase() }, value: 1 },
  ]);
  registry.gauge("agent_rollout_phase", "1 for the current step", () => [
    { labels: { phase: rolloutPhase() }, value: 1 },
  ]);
}

export function readAgentStatus(sources: StatusSources) {
  const { context, weights, rolloutPhase } = sources;
  const { node, admission, control, keyTable, keyFloor, quarantine } = context;
  const { identity, view } = node;
  const target = sources.readTarget();
  const closed = control.closure();
  return {
    host: identity.host,
    data_centre: identity.dataCentre,
    service: context.service,
    incarnation: identity.incarnation,
    config_version: view.config()?.version ?? 0,
    config_floor: control.configFloor(),
    config_confirmed_at_ms: view.configConfirmedAtMs(),
    host_list_sequence: view.hosts().sequence,
    phase: control.phase(),
    version_digest: control.digest() ?? null,
    target_digest: target?.manifestDigest ?? null,
    transfer: target ? weights.progress(target.manifestDigest) : null,
    rollout: rolloutPhase(),
    closed: closed === undefined ? null : (closed.code ?? null),
    closed_reason: closed?.message ?? null,
    in_flight: admission.inFlight(),
    queued: admission.queued(),
    limit: admission.limit(),
    keys: keyTable.size(),
    key_floor_ms: keyFloor.valueMs(),
    crash_fingerprints: quarantine.size(),
  };
}
