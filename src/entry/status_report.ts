/** Response body of `/status` of one entry. */

import type { Node } from "../node/mod.ts";
import type { LoadHints } from "../routing/mod.ts";
import { createConfigStatus } from "../status/mod.ts";
import type { StatusReport } from "../status/mod.ts";

export interface StatusReportOptions {
  readonly hints: LoadHints;
  readonly isDraining: boolean;
  readonly inFlight: number;
}

export function createStatusReport(node: Node, options: StatusReportOptions) {
  const { hints, isDraining, inFlight } = options;
  const { identity, view } = node;
  const report: StatusReport = {
    host: identity.host,
    incarnation: identity.incarnation,
    role: identity.role,
    dataCentre: identity.dataCentre,
    ...createConfigStatus(view, Date.now()),
    transfers: [],
    inFlight,
  };
  return {
    ...report,
    isWaking: view.isRecoveringFromPause(),
    isDraining,
    hostListSequence: view.hosts().sequence,
    peers: node.peers().map((peer) => ({
      host: peer.hello.host,
      role: peer.hello.role,
      dataCentre: peer.hello.dataCentre,
      ...hints.read(peer),
    })),
  };
}
