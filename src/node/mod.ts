/** The parts of a process that the entry and the agent share. */

export type { Node, NodeIdentity } from "./node.ts";
export { startNode } from "./start_node.ts";
export type { NodeOptions } from "./start_node.ts";
