/** The base of the entry and the agent: what both have in common. */

export type { Node, NodeIdentity } from "./node.ts";
export { startNode } from "./start_node.ts";
export type { NodeOptions } from "./start_node.ts";
