/** The agent: the process beside one endpoint. */

export { createAgent } from "./agent.ts";
export type { Agent, AgentOptions, AgentProcessSettings } from "./agent.ts";
export { runAgent } from "./run_agent.ts";
export type { AgentParts, AgentSettings, StartOptions } from "./run_agent.ts";
