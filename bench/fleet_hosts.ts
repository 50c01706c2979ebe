/** Ports and addresses of the hosts of a bench fleet. */

import type { PlannedHost } from "./fleet_plan.ts";

export { LANGUAGE_SERVICE, LEDGER_SERVICE } from "./fleet_plan.ts";
export const PEER_PORT = 7000;
export const HTTP_PORT = 8000;
export const ENDPOINT_PORT = 9000;

/** HTTP address of an entry or agent. */
export function processUrl(host: PlannedHost): string {
  return `http://${host.ip}:${HTTP_PORT}`;
}

/** Address on which an entry or agent accepts peer connections. */
export function peerAddress(host: PlannedHost): string {
  return `${host.ip}:${PEER_PORT}`;
}

export function endpointUrl(host: PlannedHost): string {
  return `http://${host.ip}:${ENDPOINT_PORT}`;
}
