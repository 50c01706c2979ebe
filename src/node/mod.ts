/** The base of every process: what the entry and the agent have in common. */

export type { Node, NodeIdentity } from "./node.ts";
export { startNode } from "./start_node.ts";
export type { NodeOptions } from "./start_node.ts";
