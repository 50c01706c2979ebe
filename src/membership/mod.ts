/** This process's view of hosts and configuration. */

export { chooseNeighbours, chooseWatchers } from "./choose_peers.ts";
export type { LocalHost } from "./choose_peers.ts";
export {
  choosePartnerEntries,
  DEFAULT_PARTNER_LIMITS,
} from "./choose_partners.ts";
export type { PartnerHost, PartnerLimits } from "./choose_partners.ts";
export { SYSTEM_CLOCK } from "./clock.ts";
export type { Clock } from "./clock.ts";
export type {
  AcceptedConfig,
  FleetView,
  RejectedConfig,
} from "./fleet_view.ts";
export type { Host, HostList } from "./host.ts";
export { parseHosts } from "./parse_host_list.ts";
export { createPauseDetector } from "./pause_detector.ts";
export type { PauseDetector, PauseDetectorOptions } from "./pause_detector.ts";
