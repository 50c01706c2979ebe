/** The agent: the process beside one endpoint. */

export { createAgent } from "./agent.ts";
export type { Agent, AgentOptions, AgentProcessSettings } from "./agent.ts";
