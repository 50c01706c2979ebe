/** The agent's gauges and its status page. */

import type { Registry } from "../metrics/mod.ts";
import type { RolloutPhase, RolloutTarget } from "../rollout/mod.ts";
import { createConfigStatus } from "../status/mod.ts";
import type { StatusReport, TransferStatus } from "../status/mod.ts";
import type { WeightDistributor } from "../weights/mod.ts";
import type { RequestContext } from "./request_context.ts";
import { createTransferStatus } from "./transfer_status.ts";

export interface StatusSources {
  readonly context: RequestContext;
  readonly weights: WeightDistributor;
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

export function createAgentStatusReader(sources: StatusSources) {
  const { context, weights, rolloutPhase } = sources;
  const { node, admission, control, keyTable, keyFloor, quarantine } = context;
  const { identity, view } = node;

  function readTransfers(): readonly TransferStatus[] {
    const target = sources.readTarget();
    if (target === undefined) return [];
    const progress = weights.progress(target.manifestDigest);
    return [createTransferStatus(progress, target.sizeBytes)];
  }

  return () => {
    const refusal = control.findRefusal();
    const servingDigest = control.digest();
    const report: StatusReport = {
      host: identity.host,
      incarnation: identity.incarnation,
      role: identity.role,
      dataCentre: identity.dataCentre,
      service: context.service,
      ...createConfigStatus(view, context.clock.wallMs()),
      phase: control.phase(),
      ...(servingDigest === undefined ? {} : { servingDigest }),
      transfers: readTransfers(),
      rollout: rolloutPhase(),
      inFlight: admission.inFlight(),
    };
    return {
      ...report,
      configFloor: control.configFloor(),
      hostListSequence: view.hosts().sequence,
      closed: refusal?.code,
      closedReason: refusal?.message,
      queued: admission.queued(),
      limit: admission.limit(),
      keys: keyTable.size(),
      keyFloorMs: keyFloor.valueMs(),
      crashFingerprints: quarantine.size(),
    };
  };
}
