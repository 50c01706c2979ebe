/**
 * An extra agent in the measurement's process that announces every second chunk
 * of a version and then fails as a sender: it flips a bit in each chunk, or its
 * connections stall, so that they carry no data but stay open.
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

const WRITE_BYTES = 32 * 1024;
/** Bitmap byte for eight chunks, of which every second one is held. */
const HELD_CHUNKS_BITMAP_BYTE = 0x55;
const MANIFEST_INDEX = -1;

export interface FaultySender {
  /** Stops reading from and writing to its connections. */
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
    for (let offset = 0; offset < bytes.length; offset += WRITE_BYTES) {
      const part = bytes.subarray(offset, offset + WRITE_BYTES);
      await limiter.take(part.length);
      if ((await stream.write(part)).isErr()) return;
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
        onStream: (peer, stream) => void onStream(peer, stream),
        onNotice: () => undefined,
      },
      counters: createWireCounters(createRegistry()),
      openSocket(ip, port) {
        const socket = connect({ host: ip, port });
        sockets.push(socket);
        return socket;
      },
    });
    if (peer.isErr())
      throw new Error(`connection to the receiver failed: ${peer.error}`);
    peers.push(peer.value);
    peer.value.sendNotice({
      topic: "have",
      manifestDigest: files.manifestDigest,
      chunkCount: chunks.length,
      bitmap: new Uint8Array(Math.ceil(chunks.length / 8)).fill(
        HELD_CHUNKS_BITMAP_BYTE,
      ),
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
