/** Connects the system's processes, discovered through seeds and gossip. */

export { createMembers } from "./members.ts";
export type { MemberIdentity, Members } from "./members.ts";
export { startMesh } from "./start_mesh.ts";
export type { Mesh, MeshOptions } from "./start_mesh.ts";
