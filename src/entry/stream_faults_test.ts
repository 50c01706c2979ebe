import { connect } from "node:net";
import { describe, expect, test } from "@jest/globals";
import {
  answerJson,
  API_KEY,
  chooseFirst,
  createDocument,
  createDeferred,
  DIGEST,
  DONE_EVENT,
  FINISH_EVENT,
  formatEvent,
  OTHER_DIGEST,
  readContent,
  sendHead,
  streamEvents,
} from "./testing/fake_fleet.ts";
import type { AgentBehaviour, TestFleet } from "./testing/fake_fleet.ts";
import {
  disconnectAfter,
  continueText,
  createAgents,
  PROMPT,
  TOKEN_EVENTS,
  useTestFleets,
} from "./testing/fault_cases.ts";

const startFleet = useTestFleets();

describe("stream", () => {
  function post(fleet: TestFleet) {
    return fleet.post("/v1/completions", { ...PROMPT, stream: true });
  }

  const CONTINUED: readonly { name: string; sent: readonly string[] }[] = [
    { name: "one token", sent: TOKEN_EVENTS.slice(0, 1) },
    {
      name: "two tokens in one frame",
      sent: [TOKEN_EVENTS[0]! + TOKEN_EVENTS[1]!],
    },
    {
      name: "one token and a part of the next",
      sent: [TOKEN_EVENTS[0]! + TOKEN_EVENTS[1]!.slice(0, 20)],
    },
    { name: "all tokens", sent: TOKEN_EVENTS },
    {
      name: "all tokens and the finish reason",
      sent: [...TOKEN_EVENTS, FINISH_EVENT],
    },
    {
      name: "all events but no trailer",
      sent: [...TOKEN_EVENTS, FINISH_EVENT, DONE_EVENT],
    },
  ];

  // Guards against tokens that are lost or repeated where the stream broke.
  test.each(CONTINUED)("continues after $name", async ({ sent }) => {
    const fleet = await startFleet({
      agents: createAgents(disconnectAfter(sent), continueText),
    });
    const text = await (await post(fleet)).text();
    expect(readContent(text)).toBe("abc");
    expect(text.endsWith(DONE_EVENT)).toBe(true);
    expect(text.split(DONE_EVENT)).toHaveLength(2);
    expect(text).not.toContain("c2");
    const [resumed] = fleet.agents[1]!.requests;
    if (sent.includes(FINISH_EVENT)) return expect(resumed).toBeUndefined();
    if (resumed === undefined) throw new Error("not continued");
    const { resume, versionDigest } = resumed.head;
    expect(versionDigest).toBe(DIGEST);
    expect(resume!.tokens).toBe(resume!.text.length);
  });

  // Guards against an incomplete response that looks complete.
  test("ends with an error event when no endpoint can continue", async () => {
    const fleet = await startFleet({
      agents: createAgents(disconnectAfter(TOKEN_EVENTS.slice(0, 2))),
    });
    const text = await (await post(fleet)).text();
    expect(readContent(text)).toBe("ab");
    expect(text).not.toContain("[DONE]");
    const [, data] = text.split("event: error\ndata: ");
    expect(JSON.parse(data!)).toMatchObject({
      error: { code: "connection_lost", outcome: "unknown" },
    });
    const labels = { reason: "connection_lost" };
    expect(fleet.counter("cut_streams_total", labels)).toBe(1);
  });

  // Guards against a count of continuations that includes attempts whose
  // connection was closed before anything was sent.
  test("counts only continuations that were sent", async () => {
    const [first, second, third] = createAgents(
      disconnectAfter(TOKEN_EVENTS.slice(0, 1)),
      continueText,
      continueText,
    );
    const fleet = await startFleet({
      agents: [first!, { ...second!, refusesStreams: true }, third!],
      choicePolicy: chooseFirst,
    });
    const text = await (await post(fleet)).text();
    expect(readContent(text)).toBe("abc");
    expect(fleet.counter("continued_streams_total")).toBe(1);
  });

  // Guards against streams that are aborted because the entry was paused.
  test("continues after a pause of the entry", async () => {
    const fleet = await startFleet({
      agents: createAgents((stream, request, agent) => {
        fleet.view.isRecoveringFromPause = true;
        setTimeout(() => (fleet.view.isRecoveringFromPause = false), 100);
        return disconnectAfter(TOKEN_EVENTS.slice(0, 1))(
          stream,
          request,
          agent,
        );
      }, continueText),
    });
    const text = await (await post(fleet)).text();
    expect(readContent(text)).toBe("abc");
    expect(fleet.counter("continued_streams_total")).toBe(1);
  });

  // Guards against a response that mixes the text of two model versions.
  test("does not continue on an endpoint of another digest", async () => {
    const fleet = await startFleet({
      agents: createAgents(
        disconnectAfter(TOKEN_EVENTS.slice(0, 1)),
        async (stream) => {
          sendHead(stream, { digest: OTHER_DIGEST });
          await stream.write(Buffer.from(TOKEN_EVENTS[1]!));
          stream.end({ outcome: "answered" });
        },
      ),
    });
    const document = createDocument();
    const [model] = document.models;
    const versions = [
      ...model!.versions,
      { name: "v2", digest: OTHER_DIGEST, sizeBytes: 1 },
    ];
    fleet.view.document = { ...document, models: [{ ...model!, versions }] };
    const text = await (await post(fleet)).text();
    expect(readContent(text)).toBe("a");
    expect(text).toContain("event: error");
  });

  // Guards against attempts that are wasted on endpoints of another version.
  test("skips endpoints that report another digest", async () => {
    const agents = createAgents(
      disconnectAfter(TOKEN_EVENTS.slice(0, 1)),
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
    expect(readContent(await (await post(fleet)).text())).toBe("abc");
    expect(fleet.agents[1]!.requests).toEqual([]);
  });

  // Guards against frames of a reset stream in the continued response.
  test("forwards nothing of a stream that was reset", async () => {
    const resetReason = createDeferred<string>();
    const sendTwoHeads: AgentBehaviour = async (stream) => {
      stream.onLost(resetReason.resolve);
      sendHead(stream);
      await stream.write(Buffer.from(TOKEN_EVENTS[0]!));
      // The entry resets the stream because a second head is a protocol error.
      sendHead(stream);
      await stream.write(Buffer.from(formatEvent("late")));
    };
    const fleet = await startFleet({
      agents: createAgents(sendTwoHeads, continueText),
    });
    const text = await (await post(fleet)).text();
    expect(readContent(text)).toBe("abc");
    expect(text).not.toContain("late");
    expect(await resetReason.promise).toBe("protocol_error");
  });

  // Guards against work that continues for a caller that has disconnected.
  test("resets the agent's stream when the caller disconnects", async () => {
    const resetReason = createDeferred<string>();
    const fleet = await startFleet({
      agents: createAgents(async (stream) => {
        stream.onLost(resetReason.resolve);
        sendHead(stream);
        await stream.write(Buffer.from(TOKEN_EVENTS[0]!));
      }),
    });
    const response = await post(fleet);
    await response.body!.cancel();
    expect(await resetReason.promise).toBe("caller_left");
  });

  // Guards against one slow caller that stalls others or uses up the memory.
  test("stalls only the stream of a caller that does not read", async () => {
    let writtenBytes = 0;
    const event = formatEvent("x".repeat(50_000));
    const fleet = await startFleet({
      agents: createAgents(async (stream, request, agent) => {
        if (!request.body.includes("slow")) {
          return streamEvents(TOKEN_EVENTS)(stream, request, agent);
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
    // The buffers of the operating system fill first; without backpressure the
    // writes would never stop.
    let stalledAtBytes = -1;
    for (
      let round = 0;
      round < 50 && stalledAtBytes !== writtenBytes;
      round++
    ) {
      stalledAtBytes = writtenBytes;
      for (let call = 0; call < 10; call++) {
        expect(readContent(await (await post(fleet)).text())).toBe("abc");
      }
    }
    expect(writtenBytes).toBe(stalledAtBytes);
    await slow.body!.cancel();
  });

  // Guards against a shutdown that is delayed by a caller that does not read.
  test("closes a stalled connection at the deadline", async () => {
    const backpressure = createDeferred();
    const fleet = await startFleet({
      agents: createAgents(async (stream) => {
        sendHead(stream);
        const event = Buffer.from(formatEvent("x".repeat(50_000)));
        while ((await stream.write(event)).isOk());
        backpressure.resolve();
      }),
      settings: { requestTimeoutMs: 300 },
    });
    const response = await post(fleet);
    await backpressure.promise;
    await fleet.entry.shutDown();
    await expect(response.text()).rejects.toThrow();
  });

  // Guards against a shutdown that waits for a caller that does not read
  // complete responses.
  test("shuts down although complete responses are not read", async () => {
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

  // Guards against a request that occupies its endpoint without limit.
  test("ends at the deadline", async () => {
    const fleet = await startFleet({
      agents: createAgents(async (stream) => {
        sendHead(stream);
        await stream.write(Buffer.from(TOKEN_EVENTS[0]!));
      }),
      settings: { requestTimeoutMs: 100 },
    });
    const text = await (await post(fleet)).text();
    expect(text).toContain('"code":"deadline_exceeded"');
    expect(text).toContain('"outcome":"unknown"');
  });
});
