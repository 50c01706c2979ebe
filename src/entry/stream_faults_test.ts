import { connect } from "node:net";
import { describe, expect, test } from "@jest/globals";
import {
  answerJson,
  API_KEY,
  createDocument,
  createGate,
  DIGEST,
  DONE,
  FINISH,
  formatEvent,
  OTHER_DIGEST,
  readText,
  sendHead,
  streamEvents,
} from "./testing/fake_fleet.ts";
import type { Behaviour, Fleet } from "./testing/fake_fleet.ts";
import {
  breakAfter,
  continueText,
  createAgents,
  PROMPT,
  TEXT,
  useFleets,
} from "./testing/fault_cases.ts";

const startFleet = useFleets();

describe("stream", () => {
  function post(fleet: Fleet) {
    return fleet.post("/v1/completions", { ...PROMPT, stream: true });
  }

  const CONTINUED: readonly { name: string; sent: readonly string[] }[] = [
    { name: "one token", sent: TEXT.slice(0, 1) },
    { name: "two tokens in one frame", sent: [TEXT[0]! + TEXT[1]!] },
    {
      name: "a token and a part of the next",
      sent: [TEXT[0]! + TEXT[1]!.slice(0, 20)],
    },
    { name: "all tokens but no end", sent: TEXT },
    { name: "everything but the final event", sent: [...TEXT, FINISH] },
    { name: "everything but the end mark", sent: [...TEXT, FINISH, DONE] },
  ];

  // Guards against tokens that are lost or repeated at the break.
  test.each(CONTINUED)("continues after $name", async ({ sent }) => {
    const fleet = await startFleet({
      agents: createAgents(breakAfter(sent), continueText),
    });
    const text = await (await post(fleet)).text();
    expect(readText(text)).toBe("abc");
    expect(text.endsWith(DONE)).toBe(true);
    expect(text.split(DONE)).toHaveLength(2);
    expect(text).not.toContain("c2");
    const [resumed] = fleet.agents[1]!.requests;
    if (sent.includes(FINISH)) return expect(resumed).toBeUndefined();
    if (resumed === undefined) throw new Error("not continued");
    const { resume, versionDigest } = resumed.head;
    expect(versionDigest).toBe(DIGEST);
    expect(resume!.tokens).toBe(resume!.text.length);
  });

  // Guards against a cut answer that looks complete.
  test("ends with an error event when no endpoint can continue", async () => {
    const fleet = await startFleet({
      agents: createAgents(breakAfter(TEXT.slice(0, 2))),
    });
    const text = await (await post(fleet)).text();
    expect(readText(text)).toBe("ab");
    expect(text).not.toContain("[DONE]");
    const [, data] = text.split("event: error\ndata: ");
    expect(JSON.parse(data!)).toMatchObject({
      error: { code: "connection_lost", outcome: "unknown" },
    });
    const labels = { reason: "connection_lost" };
    expect(fleet.counter("cut_streams_total", labels)).toBe(1);
  });

  // Guards against streams that are cut because the entry was paused.
  test("continues when the entry has woken", async () => {
    const fleet = await startFleet({
      agents: createAgents((stream, request, agent) => {
        fleet.view.isWaking = true;
        setTimeout(() => (fleet.view.isWaking = false), 100);
        return breakAfter(TEXT.slice(0, 1))(stream, request, agent);
      }, continueText),
    });
    const text = await (await post(fleet)).text();
    expect(readText(text)).toBe("abc");
    expect(fleet.counter("continued_streams_total")).toBe(1);
  });

  // Guards against a text of two versions.
  test("does not continue on an endpoint of another digest", async () => {
    const fleet = await startFleet({
      agents: createAgents(breakAfter(TEXT.slice(0, 1)), async (stream) => {
        sendHead(stream, { digest: OTHER_DIGEST });
        await stream.write(Buffer.from(TEXT[1]!));
        stream.end({ outcome: "answered" });
      }),
    });
    const document = createDocument();
    const [model] = document.models;
    const versions = [
      ...model!.versions,
      { name: "v2", digest: OTHER_DIGEST, sizeBytes: 1 },
    ];
    fleet.view.document = { ...document, models: [{ ...model!, versions }] };
    const text = await (await post(fleet)).text();
    expect(readText(text)).toBe("a");
    expect(text).toContain("event: error");
  });

  // Guards against attempts that are spent on endpoints of another version.
  test("passes over endpoints that report another digest", async () => {
    const agents = createAgents(
      breakAfter(TEXT.slice(0, 1)),
      continueText,
      continueText,
    );
    const fleet = await startFleet({ agents });
    const document = createDocument();
    const [model] = document.models;
    const versions = [
      ...model!.versions,
      { name: "v2", digest: OTHER_DIGEST, sizeBytes: 1 },
    ];
    fleet.view.document = { ...document, models: [{ ...model!, versions }] };
    fleet.agents[1]!.notify({
      topic: "load",
      sequence: 1,
      service: "assistant",
      phase: "warm",
      versionDigest: OTHER_DIGEST,
      inFlight: 0,
      queued: 0,
      limit: 8,
    });
    await fleet.waitForReport("b");
    expect(readText(await (await post(fleet)).text())).toBe("abc");
    expect(fleet.agents[1]!.requests).toEqual([]);
  });

  // Guards against frames of an abandoned stream in the continued answer.
  test("forwards nothing of a stream that was reset", async () => {
    const lost = createGate<string>();
    const late: Behaviour = async (stream) => {
      stream.onLost(lost.open);
      sendHead(stream);
      await stream.write(Buffer.from(TEXT[0]!));
      // A second head is an error, upon which the entry abandons the stream.
      sendHead(stream);
      await stream.write(Buffer.from(formatEvent("late")));
    };
    const fleet = await startFleet({
      agents: createAgents(late, continueText),
    });
    const text = await (await post(fleet)).text();
    expect(readText(text)).toBe("abc");
    expect(text).not.toContain("late");
    expect(await lost.promise).toBe("protocol_error");
  });

  // Guards against work that goes on for a caller that has left.
  test("resets the agent's stream when the caller leaves", async () => {
    const lost = createGate<string>();
    const fleet = await startFleet({
      agents: createAgents(async (stream) => {
        stream.onLost(lost.open);
        sendHead(stream);
        await stream.write(Buffer.from(TEXT[0]!));
      }),
    });
    const response = await post(fleet);
    await response.body!.cancel();
    expect(await lost.promise).toBe("caller_left");
  });

  // Guards against one slow reader that stalls others or fills the memory.
  test("stalls only the stream of a caller that does not read", async () => {
    let writtenBytes = 0;
    const event = formatEvent("x".repeat(50_000));
    const fleet = await startFleet({
      agents: createAgents(async (stream, request, agent) => {
        if (!request.body.includes("slow")) {
          return streamEvents(TEXT)(stream, request, agent);
        }
        sendHead(stream);
        for (;;) {
          const written = await stream.write(Buffer.from(event));
          if (written.isErr()) return;
          writtenBytes += event.length;
        }
      }),
    });
    const slow = await fleet.post("/v1/completions", {
      ...PROMPT,
      prompt: "slow",
      stream: true,
    });
    // Buffers of the system fill first; without backpressure this never ends.
    let stalledAtBytes = -1;
    for (
      let round = 0;
      round < 50 && stalledAtBytes !== writtenBytes;
      round++
    ) {
      stalledAtBytes = writtenBytes;
      for (let turn = 0; turn < 10; turn++) {
        expect(readText(await (await post(fleet)).text())).toBe("abc");
      }
    }
    expect(writtenBytes).toBe(stalledAtBytes);
    await slow.body!.cancel();
  });

  // Guards against a caller that does not read and so holds up a shutdown.
  test("closes a stalled connection at the time limit", async () => {
    const stalled = createGate();
    const fleet = await startFleet({
      agents: createAgents(async (stream) => {
        sendHead(stream);
        const event = Buffer.from(formatEvent("x".repeat(50_000)));
        while ((await stream.write(event)).isOk());
        stalled.open();
      }),
      settings: { requestTimeoutMs: 300 },
    });
    const response = await post(fleet);
    await stalled.promise;
    await fleet.entry.shutDown();
    await expect(response.text()).rejects.toThrow();
  });

  // Guards against a shutdown that waits for a caller that reads nothing of
  // answers that are complete.
  test("shuts down although complete answers are not read", async () => {
    const fleet = await startFleet({
      agents: createAgents(answerJson("x".repeat(1_000_000))),
      settings: { requestTimeoutMs: 200, bodyTimeoutMs: 200 },
    });
    const { hostname, port } = new URL(fleet.url);
    const socket = connect({ host: hostname, port: Number(port) });
    socket.on("error", () => undefined);
    socket.pause();
    const body = JSON.stringify(PROMPT);
    const request = [
      "POST /v1/completions HTTP/1.1",
      "Host: x",
      `Authorization: Bearer ${API_KEY}`,
      `Content-Length: ${body.length}`,
      "",
      body,
    ].join("\r\n");
    socket.write(request.repeat(20));
    await fleet.waitForRequests(20);
    await fleet.entry.shutDown();
    await fleet.waitForLog("Closing connections of stalled callers");
    socket.destroy();
  });

  // Guards against a request that holds its endpoint for ever.
  test("ends at the time limit", async () => {
    const fleet = await startFleet({
      agents: createAgents(async (stream) => {
        sendHead(stream);
        await stream.write(Buffer.from(TEXT[0]!));
      }),
      settings: { requestTimeoutMs: 100 },
    });
    const text = await (await post(fleet)).text();
    expect(text).toContain('"code":"deadline_exceeded"');
    expect(text).toContain('"outcome":"unknown"');
  });
});
