import { describe, expect, test } from "@jest/globals";
import { loadSettings, parseAgentSettings, parseEntrySettings } from "./mod.ts";

const ENTRY = `host: kol-entry-1
data_centre: kolkata
http_address: 127.0.0.1:8080
peer_address: 127.0.0.1:7080
platform_url: http://127.0.0.1:2379
`;
const AGENT = `${ENTRY}service: assistant
endpoint_url: http://[::1]:9000
weight_store_url: http://127.0.0.1:9100
`;

describe("settings", () => {
  // Guards against defaults that differ from the documented ones.
  test("fills in defaults", () => {
    const entry = parseEntrySettings(ENTRY, { file: "e" })._unsafeUnwrap();
    expect(entry).toMatchObject({
      seedPeers: [],
      maxBodyBytes: 4_194_304,
      bodyTimeoutMs: 10_000,
      requestTimeoutMs: 120_000,
      drainNoticeMs: 3_000,
    });
    const agent = parseAgentSettings(AGENT, { file: "a" })._unsafeUnwrap();
    expect(agent).toMatchObject({
      endpointUrl: "http://[::1]:9000",
      weightsPolicy: "swarm",
      weightsMemoryBytes: 1_073_741_824,
      drainTimeoutMs: 150_000,
    });
    expect(agent.hostUpMbitPerS).toBeUndefined();
  });

  // Guards against a process that listens on or connects to a wrong address.
  test.each<readonly [string, string, string]>([
    ["127.0.0.1:8080", "localhost:8080", "http_address"],
    ["127.0.0.1:8080", "127.0.0.1:65536", "http_address"],
    ["127.0.0.1:8080", "8080", "http_address"],
    ["127.0.0.1:7080", "127.0.0.1:8080", "peer_address"],
    ["http://127.0.0.1:2379", "http://platform:2379", "platform_url"],
    ["http://127.0.0.1:2379", "ftp://127.0.0.1:2379", "platform_url"],
    ["host: kol-entry-1", "host: a b", "host"],
    [
      "service: assistant",
      "service: assistant\nseed_peers: [127.0.0.1:0]",
      "seed_peers[0]",
    ],
    [
      "service: assistant",
      "service: assistant\nlisted_peer_address: 127.0.0.1:0",
      "listed_peer_address",
    ],
    [
      "service: assistant",
      "service: assistant\nweights_policy: tree",
      "weights_policy",
    ],
    [
      "service: assistant",
      "service: assistant\nhost_up_mbit_per_s: 0",
      "host_up_mbit_per_s",
    ],
    ["service:", "servise:", "servise"],
  ])("rejects %s replaced by %s", (from, to, path) => {
    expect(AGENT).toContain(from);
    const text = AGENT.replace(from, to);
    const findings = parseAgentSettings(text, { file: "a" })._unsafeUnwrapErr();
    const finding = findings.find((item) => item.path === path);
    expect(finding?.fix).toBeTruthy();
    expect(text.split("\n")[(finding?.line ?? 0) - 1]).toContain(
      path.split("[")[0],
    );
  });

  // Guards against example files that are not valid settings.
  test("loads the examples and reports a missing file", async () => {
    const [entry, agent, missing] = await Promise.all([
      loadSettings("examples/entry.yaml", parseEntrySettings),
      loadSettings("examples/agent.yaml", parseAgentSettings),
      loadSettings("examples/none.yaml", parseAgentSettings),
    ]);
    expect(entry.isOk() && agent.isOk()).toBe(true);
    expect(missing._unsafeUnwrapErr()[0]?.message).toContain("Cannot read");
  });
});
