/**
 * An extra agent in the process of the measure that offers every second chunk
 * of a version and then fails as a sender: it flips a bit of each chunk, or
 * its links stall, so that nothing passes although no connection closes.
 */

import type { Socket } from "node:net";
import { connect } from "node:net";
import { createModelFiles } from "../stand_ins/model_files.ts";
import type { ModelFilesOptions } from "../stand_ins/model_files.ts";
import { createRateLimiter } from "../stand_ins/rate_limiter.ts";
import { createRegistry } from "../src/metrics/mod.ts";
import { createUuidV7 } from "../src/uuid/mod.ts";
import { connectPeer, createWireCounters } from "../src/wire/mod.ts";
import type { Peer, Stream } from "../src/wire/mod.ts";
import { LANGUAGE_SERVICE, PEER_PORT } from "./fleet_hosts.ts";
import { MODEL } from "./fleet_plan.ts";
import type { PlannedHost, VersionName } from "./fleet_plan.ts";

const PIECE_BYTES = 32 * 1024;
/** Every second chunk. */
const HELD_BITS = 0x55;
const MANIFEST_INDEX = -1;

export interface FaultySender {
  /** From now on nothing is read from or written to its connections. */
  stall(): void;
  close(): void;
}

export interface FaultySenderOptions {
  readonly host: PlannedHost;
  readonly receivers: readonly PlannedHost[];
  readonly version: VersionName;
  readonly files: ModelFilesOptions;
  readonly mbitPerS: number;
  readonly isCorrupt: boolean;
}

export async function startFaultySender(
  options: FaultySenderOptions,
): Promise<FaultySender> {
  const { host, receivers, version, isCorrupt } = options;
  const files = createModelFiles(MODEL, version, options.files);
  const chunks = [...files.chunks.values()];
  const limiter = createRateLimiter(options.mbitPerS);
  const incarnation = createUuidV7(Date.now());
  const sockets: Socket[] = [];
  const peers: Peer[] = [];

  async function onStream(_: Peer, stream: Stream) {
    const { head } = stream;
    if (head.kind !== "chunk") return stream.reset("not_supported");
    const isManifest = head.index === MANIFEST_INDEX;
    const bytes = Buffer.from(
      isManifest ? files.manifest : (chunks[head.index] ?? ""),
    );
    if (isCorrupt && !isManifest) bytes[100] = (bytes[100] ?? 0) ^ 1;
    for (let at = 0; at < bytes.length; at += PIECE_BYTES) {
      const piece = bytes.subarray(at, at + PIECE_BYTES);
      await limiter.take(piece.length);
      if ((await stream.write(piece)).isErr()) return;
    }
    stream.end({ outcome: "answered" });
  }

  async function connectTo(receiver: PlannedHost) {
    const peer = await connectPeer(`${receiver.ip}:${PEER_PORT}`, {
      hello: () => ({
        protocolVersion: 1,
        role: "agent",
        host: host.name,
        dataCentre: host.dataCentre,
        incarnation,
        service: LANGUAGE_SERVICE,
        configVersion: 0,
      }),
      handlers: {
        onStream: (from, stream) => void onStream(from, stream),
        onNotice: () => undefined,
      },
      counters: createWireCounters(createRegistry()),
      openSocket(ip, port) {
        const socket = connect({ host: ip, port });
        sockets.push(socket);
        return socket;
      },
    });
    if (peer.isErr()) throw new Error(`No connection: ${peer.error}`);
    peers.push(peer.value);
    peer.value.sendNotice({
      topic: "have",
      manifestDigest: files.manifestDigest,
      chunkCount: chunks.length,
      bitmap: new Uint8Array(Math.ceil(chunks.length / 8)).fill(HELD_BITS),
      servingDigest: files.manifestDigest,
      phase: "warm",
      sentBytes: 0,
    });
  }

  await Promise.all(receivers.map(connectTo));
  return {
    stall() {
      sockets.forEach((socket) => {
        socket.pause();
        socket.write = () => true;
      });
    },
    close: () => peers.forEach((peer) => peer.close("ended")),
  };
}
