/** The part of a status report that describes the configuration in force. */

import type { FleetView } from "../membership/mod.ts";
import type { StatusReport } from "./status_report.ts";

export function createConfigStatus(
  view: FleetView,
  nowMs: number,
): Pick<StatusReport, "config" | "rejected"> {
  const config = view.config();
  const rejected = view.rejectedConfig?.();
  const rejection = rejected === undefined ? {} : { rejected };
  if (config === undefined) return rejection;
  const confirmedAgeMs = Math.max(0, nowMs - view.configConfirmedAtMs());
  const dataCentresOut = config.document.dataCentres
    .filter(({ out }) => out)
    .map(({ name }) => name);
  return {
    config: { version: config.version, confirmedAgeMs, dataCentresOut },
    ...rejection,
  };
}
