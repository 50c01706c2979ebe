/** The memory of an entry whose endpoints send without end. */

import { readFile } from "node:fs/promises";
import { connect } from "node:net";
import type { Socket } from "node:net";
import { afterEach, beforeAll, expect, test } from "@jest/globals";
import { FIRST_KEY } from "../../stand_ins/users_platform/mod.ts";
import type { PlatformFleet } from "../../stand_ins/users_platform/mod.ts";
import { buildPrograms } from "../build_programs.ts";
import { startServingFleet } from "./serving_fleet.ts";

/** As the deployed entries. */
const NODE_ARGS = ["--max-semi-space-size=4", "--max-old-space-size=200"];
/** Memory of an entry's host on the users' platform. */
const HOST_MEMORY_MB = 350;
const CALLS_AT_ONCE = 200;
const SILENT_CALLERS = 30;
const CALL_TIMEOUT_MS = 6_000;
const FLOOD_MS = 4_000;

let fleet: PlatformFleet | undefined;
const sockets: Socket[] = [];

beforeAll(() => buildPrograms(), 120_000);

afterEach(async () => {
  sockets.splice(0).forEach((socket) => socket.destroy());
  await fleet?.close();
  fleet = undefined;
});

async function startFleet(workers: number) {
  const { fleet: started, call } = await startServingFleet(
    {
      gateways: 1,
      workers: Array.from({ length: workers }, () => 1),
      nodeArgs: NODE_ARGS,
      callTimeoutMs: CALL_TIMEOUT_MS,
    },
    (created) => (fleet = created),
  );
  return { started, gateway: started.gateways[0]!, call };
}

/** Largest resident memory of a process so far. */
async function readPeakMemoryMb(processId: number): Promise<number> {
  const status = await readFile(`/proc/${processId}/status`, "utf8");
  return Number(/^VmHWM:\s+(\d+) kB/m.exec(status)![1]) / 1024;
}

// Guards against an entry that runs out of memory, and loses the calls of all
// its callers, because one endpoint sends answers without end.
test("answers without end at many calls at once stay within the host's memory", async () => {
  const { started, gateway, call } = await startFleet(2);
  started.workers[0]!.faults.endless = "answers";
  const results = await Promise.all(
    Array.from({ length: CALLS_AT_ONCE }, (_, index) => call(`e${index}`)),
  );
  expect(results.filter(({ status }) => status === 0)).toEqual([]);
  expect(await readPeakMemoryMb(gateway.process.pid!)).toBeLessThan(
    HOST_MEMORY_MB,
  );
  started.workers[0]!.faults.endless = undefined;
  expect(await call("after")).toMatchObject({ status: 200, isWhole: true });
}, 60_000);

/** A caller that sends a request and never reads the response. */
function openSilentCaller(url: string, id: string) {
  const { hostname, port } = new URL(url);
  const socket = connect({ host: hostname, port: Number(port) });
  sockets.push(socket);
  socket.on("error", () => undefined);
  socket.pause();
  socket.write(
    "POST /a/1 HTTP/1.1\r\nHost: desk.example\r\nModel: m1\r\n" +
      `Authorization: Bearer ${FIRST_KEY}\r\nAttempt-Id: ${id}\r\n` +
      `Deadline-Ms: ${CALL_TIMEOUT_MS}\r\nContent-Length: 0\r\n\r\n`,
  );
}

// Guards against the same by events for callers that do not read.
test("events without end for callers that do not read stay within the host's memory", async () => {
  const { started, gateway, call } = await startFleet(1);
  started.workers[0]!.faults.endless = "events";
  Array.from({ length: SILENT_CALLERS }, (_, index) =>
    openSilentCaller(gateway.callerUrl, `s${index}`),
  );
  await new Promise((resolve) => setTimeout(resolve, FLOOD_MS));
  expect(await readPeakMemoryMb(gateway.process.pid!)).toBeLessThan(
    HOST_MEMORY_MB,
  );
  started.workers[0]!.faults.endless = undefined;
  expect(await call("after")).toMatchObject({ status: 200, isWhole: true });
}, 60_000);
