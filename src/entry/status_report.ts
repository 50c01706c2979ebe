/** What `/status` shows of one entry. */

import type { Node } from "../node/mod.ts";
import type { LoadHints } from "../routing/mod.ts";

export interface StatusOptions {
  readonly hints: LoadHints;
  readonly isDraining: boolean;
  readonly inFlight: number;
}

export function createStatusReport(node: Node, options: StatusOptions) {
  const { hints, isDraining, inFlight } = options;
  const { identity, view } = node;
  const config = view.config();
  return {
    host: identity.host,
    role: identity.role,
    data_centre: identity.dataCentre,
    incarnation: identity.incarnation,
    started_at_ms: identity.startedAtMs,
    config_version: config?.version ?? null,
    config_confirmed_at_ms: view.configConfirmedAtMs(),
    host_list_sequence: view.hosts().sequence,
    is_waking: view.isWaking(),
    is_draining: isDraining,
    in_flight: inFlight,
    peers: node.peers().map((peer) => {
      const { report, inFlight: ownInFlight } = hints.read(peer);
      return {
        host: peer.hello.host,
        role: peer.hello.role,
        service: peer.hello.service ?? null,
        data_centre: peer.hello.dataCentre,
        phase: report?.phase ?? null,
        version_digest: report?.versionDigest ?? null,
        in_flight: report?.inFlight ?? null,
        queued: report?.queued ?? null,
        limit: report?.limit ?? null,
        own_in_flight: ownInFlight,
      };
    }),
  };
}
