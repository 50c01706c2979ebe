import { describe, expect, test } from "@jest/globals";
import type { Hello, Notice, Peer } from "../wire/mod.ts";
import { createConnections } from "./connections.ts";
import { createUuidV7 } from "../uuid/mod.ts";
import type { NodeIdentity } from "./node.ts";
import { SILENT_LOGGER } from "./testing/start_fleet.ts";

const EARLIER = createUuidV7(1_000);
const LATER = createUuidV7(2_000);

function createFakePeer(host: string, incarnation = EARLIER) {
  const notices: Notice[] = [];
  let reason: string | undefined;
  let resolve: (reason: string) => void = () => undefined;
  const closed = new Promise<string>((done) => (resolve = done));
  const peer = {
    hello: { host, incarnation, role: "agent" } as Hello,
    closed,
    isClosed: () => reason !== undefined,
    openStreams: () => 0,
    sendNotice: (notice: Notice) => void notices.push(notice),
    close(why: string) {
      reason ??= why;
      resolve(why);
    },
  } as unknown as Peer;
  return { peer, notices };
}

function createForHost(host: string) {
  const identity = { host, incarnation: EARLIER } as NodeIdentity;
  return createConnections({ identity, logger: SILENT_LOGGER });
}

describe("connections", () => {
  // Guards against two hosts that each keep a different connection, so that
  // both are closed.
  test.each([
    { self: "a", other: "b", first: true, kept: "dialled" },
    { self: "a", other: "b", first: false, kept: "dialled" },
    { self: "b", other: "a", first: true, kept: "accepted" },
    { self: "b", other: "a", first: false, kept: "accepted" },
  ])(
    "$self keeps the $kept connection to $other (dialled first: $first)",
    async ({ self, other, first, kept }) => {
      const connections = createForHost(self);
      const dialled = createFakePeer(other).peer;
      const accepted = createFakePeer(other).peer;
      const order = first ? [dialled, accepted] : [accepted, dialled];
      order.forEach((peer) =>
        connections.add(peer, { isDialled: peer === dialled }),
      );
      const [current, duplicate] =
        kept === "dialled" ? [dialled, accepted] : [accepted, dialled];
      expect(connections.peers()).toEqual([current]);
      expect(await duplicate.closed).toBe("duplicate");
      expect(current.isClosed()).toBe(false);
      connections.close();
    },
  );

  // Guards against a stopped process's connection that hides the connection of
  // the process that replaced it.
  test("replaces the connection of an earlier incarnation at once", () => {
    const connections = createForHost("a");
    const earlier = createFakePeer("b", EARLIER);
    const later = createFakePeer("b", LATER);
    connections.add(earlier.peer, { isDialled: true });
    connections.add(later.peer, { isDialled: false });
    expect(connections.find("b")).toBe(later.peer);
    expect(earlier.peer.isClosed()).toBe(true);
  });

  // Guards against an earlier process that resumes after a pause and displaces
  // its replacement.
  test("refuses an earlier incarnation and notifies it", () => {
    const connections = createForHost("a");
    const earlier = createFakePeer("b", EARLIER);
    const later = createFakePeer("b", LATER);
    connections.add(later.peer, { isDialled: false });
    connections.add(earlier.peer, { isDialled: true });
    expect(connections.find("b")).toBe(later.peer);
    expect(earlier.notices).toEqual([
      { topic: "replaced", host: "b", incarnation: LATER },
    ]);
    connections.close();
  });

  // Guards against two processes that both execute calls for one host name.
  test("reports a later incarnation of its own host once", () => {
    const connections = createForHost("a");
    let reports = 0;
    connections.onReplaced(() => reports++);
    connections.checkIncarnation("b", LATER);
    connections.checkIncarnation("a", EARLIER);
    expect(reports).toBe(0);
    connections.add(createFakePeer("a", LATER).peer, { isDialled: false });
    connections.checkIncarnation("a", LATER);
    expect(reports).toBe(1);
    expect(connections.peers()).toEqual([]);
  });
});
