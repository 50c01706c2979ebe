/**
 * Peer connections between the system's processes: frames, flow-controlled
 * streams and notices. docs/design.md section 5 describes the protocol.
 */

export { createFrameDecoder, encodeFrame, MAX_FRAME_BYTES } from "./frame.ts";
export type { Frame, FrameDecoder, FrameError } from "./frame.ts";
export type {
  DirectoryAskNotice,
  DirectoryReplyNotice,
  EndpointLoadNotice,
  FleetNotice,
  FleetService,
  FleetWeights,
  MemberRecord,
  MembersAskNotice,
  MembersNotice,
  RateAskNotice,
  RateGrantNotice,
  SubscribeNotice,
} from "./fleet_notices.ts";
export { NEWS_ASK_ID } from "./fleet_notices.ts";
export * from "./messages.ts";
export type { Phase } from "./phase.ts";
export type { Peer, PeerHandlers } from "./peer.ts";
export { PROMPT_PART_TOPICS } from "./prompt_part_notices.ts";
export type {
  PartCrashNotice,
  PartQuarantinedNotice,
  PromptPartNotice,
} from "./prompt_part_notices.ts";
export { MAX_LIMITS_IN_NOTICE } from "./request_limit_notices.ts";
export type {
  PermitAskNotice,
  PermitGrantNotice,
  RequestLimitsNotice,
  StatedLimitRecord,
} from "./request_limit_notices.ts";
export { INITIAL_CREDIT_BYTES } from "./stream.ts";
export type { Stream, StreamEvent, StreamLost } from "./stream.ts";
export { connectPeer, listenForPeers } from "./transport.ts";
export type {
  DialOptions,
  ListenOptions,
  PeerListener,
  TransportOptions,
} from "./transport.ts";
export { createWireCounters } from "./wire_counters.ts";
export type { WireCounters } from "./wire_counters.ts";
