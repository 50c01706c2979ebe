/** This process's view of hosts and configuration. */

export type { AcceptedConfig, FleetView } from "./fleet_view.ts";
export type { Host, HostList } from "./host.ts";
