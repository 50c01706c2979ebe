/** The agent: the process that runs on the host of one endpoint. */

export { createAgent } from "./agent.ts";
export type { Agent, AgentOptions, AgentProcessSettings } from "./agent.ts";
