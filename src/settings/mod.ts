/** Settings files of the entry, agent, gateway and sidecar programs. */

export { parseAgentSettings } from "./agent_settings.ts";
export type { AgentSettings } from "./agent_settings.ts";
export { parseEntrySettings } from "./entry_settings.ts";
export type { EntrySettings } from "./entry_settings.ts";
export { parseSidecarSettings } from "./sidecar_settings.ts";
export type { SidecarProgramSettings } from "./sidecar_settings.ts";
export { parseGatewaySettings } from "./gateway_settings.ts";
export type { GatewayProgramSettings } from "./gateway_settings.ts";
export { isIpAndPort } from "./fields.ts";
export { loadSettings } from "./load_settings.ts";
export type { ParseSettings } from "./load_settings.ts";
