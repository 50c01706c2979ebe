/** What the roll-out sees of the configuration and of the other agents. */

import type { Node } from "../node/mod.ts";
import type { RolloutTarget, SwitchView } from "../rollout/mod.ts";
import type { Weights } from "../weights/mod.ts";
import { findService, findServingVersion } from "./service_config.ts";

/** The version that the configuration wants here; none for plain services. */
export function readTarget(
  { view }: Node,
  serviceName: string,
): RolloutTarget | undefined {
  const config = view.config();
  if (config === undefined) return undefined;
  const service = findService(config.document, serviceName);
  const version = findServingVersion(config.document, service);
  if (service?.kind !== "language" || version === undefined) return undefined;
  return {
    model: service.model,
    manifestDigest: version.digest,
    sizeBytes: version.sizeBytes,
    configVersion: config.version,
  };
}

/** The agents of the same service and data centre. */
export function readSwitchView(
  { view, identity }: Node,
  weights: Weights,
  serviceName: string,
): Omit<SwitchView, "ownState" | "targetDigest"> {
  const names = view
    .hosts()
    .hosts.filter(
      (host) =>
        host.role === "endpoint" &&
        host.state === "live" &&
        host.service === serviceName &&
        host.dataCentre === identity.dataCentre,
    )
    .map(({ name }) => name);
  return {
    ownHost: identity.host,
    hosts: [...new Set([...names, identity.host])],
    members: weights
      .peers()
      .filter((peer) => peer.host !== identity.host)
      .map(({ host, phase, servingDigest }) => ({
        host,
        isServing: phase === "cold" || phase === "warm",
        isWarm: phase === "warm",
        ...(servingDigest === undefined ? {} : { servingDigest }),
      })),
  };
}
