/** Connects the system's processes, discovered through seeds and gossip. */

export { createMemberList } from "./members.ts";
export type { MemberIdentity, MemberList } from "./members.ts";
export { startMesh } from "./start_mesh.ts";
export type { Mesh, MeshOptions } from "./start_mesh.ts";
