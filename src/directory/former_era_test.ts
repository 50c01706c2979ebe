/** Copies that are older than what a process knows, after several restores. */

import { expect, test } from "@jest/globals";
import type { DirectoryChange, EndpointRecord, StorePosition } from "./mod.ts";
import {
  createConfig,
  createEndpoint,
  createEndpointChange,
  createTestDirectory,
} from "./testing/mod.ts";

function list(
  position: StorePosition,
  fields: Partial<EndpointRecord> = {},
): DirectoryChange {
  const endpoint = createEndpoint({ startedAtMs: 1, ...fields });
  return { ...createEndpointChange(endpoint), ...position };
}

// Guards against requests to a leaving endpoint after a second restore from a
// later copy, in which the endpoint has a higher revision than its notice got
// when it was written again after the first one.
test("an endpoint whose notice was written again stays out of use", () => {
  const { directory } = createTestDirectory();
  const isDraining = true;
  directory.replace([list({ era: 1, revision: 15 })], { era: 1, revision: 15 });
  const notice = list({ era: 2, revision: 10 }, { isDraining });
  directory.replace([notice], { era: 2, revision: 10 });
  directory.replace([list({ era: 3, revision: 15 })], { era: 3, revision: 15 });
  expect(directory.endpoints()).toMatchObject([{ isDraining }]);
  const later = list({ era: 3, revision: 16 }, { startedAtMs: 2 });
  directory.apply([later], { era: 3, revision: 16 });
  expect(directory.endpoints()).toMatchObject([{ isDraining: false }]);
});

// Guards against requests to an endpoint that has left, at a process which
// learns of two eras at once: the revision at which the current era was first
// read says nothing about a record that a peer read in the one before.
test("an endpoint that a peer read from the copy of an earlier era stays gone", () => {
  const { directory } = createTestDirectory();
  directory.replace([list({ era: 1, revision: 2 })], { era: 1, revision: 2 });
  const removal = { type: "endpoint", id: "e1", endpoint: undefined } as const;
  directory.apply([{ ...removal, era: 1, revision: 3 }], {
    era: 1,
    revision: 3,
  });
  directory.replace(
    [list({ era: 2, revision: 2 }), { ...removal, era: 3, revision: 0 }],
    { era: 3, revision: 1 },
  );
  expect(directory.endpoints()).toEqual([]);
});

// Guards against a data centre that is emptied again by the second of two
// restores, although its evacuation was taken back before the first one.
test("an evacuation that was taken back twice stays out of force", () => {
  const { directory } = createTestDirectory();
  const evacuate = (position: StorePosition, isOut: boolean) => ({
    type: "evacuation" as const,
    dataCentre: "kol-a",
    isOut,
    ...position,
  });
  directory.replace([evacuate({ era: 1, revision: 5 }, true)], {
    era: 1,
    revision: 5,
  });
  [1, 2, 3].forEach((era) => {
    const before = { era, revision: 5 };
    directory.replace([evacuate(before, true)], before);
    expect(directory.isEvacuated("kol-a")).toBe(era === 1);
    const after = { era, revision: 6 };
    directory.apply([evacuate(after, false)], after);
    expect(directory.isEvacuated("kol-a")).toBe(false);
  });
});

// Guards against revoked API keys: after a second restore, from a copy of the
// time before the first one, the configuration is back at the revision that it
// had then, and the later version that revokes the key is missing.
test("a configuration at a revision of an earlier era was not written again", () => {
  const { directory, clock, time } = createTestDirectory();
  function read(position: StorePosition, revision: number) {
    const config = createConfig({ version: 15 });
    const { era } = position;
    directory.replace([{ type: "config", era, revision, config }], position);
    directory.confirmFromStore(clock.nowMs());
  }
  read({ era: 1, revision: 20 }, 17);
  time.monotonic += 2_000;
  read({ era: 2, revision: 18 }, 16);
  expect(directory.ageMs()).toBe(0);
  time.monotonic += 4_000;
  read({ era: 3, revision: 18 }, 17);
  expect(directory.ageMs()).toBe(4_000);
  read({ era: 3, revision: 19 }, 19);
  expect(directory.ageMs()).toBe(0);
});

// Guards against an endpoint that is used for good after it has left: a peer
// still holds back its record in the current era, and passes it on with what it
// knows from the former one.
test.each([
  { what: "had left before the restore", formerChanges: "removed" },
  { what: "has left since the restore", formerChanges: "listed" },
])(
  "an endpoint that $what does not come from a peer that read the store before",
  ({ formerChanges }) => {
    const removal = {
      type: "endpoint",
      id: "e1",
      endpoint: undefined,
    } as const;
    const peer = createTestDirectory().directory;
    peer.replace([list({ era: 1, revision: 4 })], { era: 1, revision: 4 });
    if (formerChanges === "removed") {
      peer.apply([{ ...removal, era: 1, revision: 5 }], {
        era: 1,
        revision: 5,
      });
    }
    peer.replace([list({ era: 2, revision: 2 })], { era: 2, revision: 2 });
    const { directory } = createTestDirectory({ schedule: (run) => run() });
    const held = { era: 2, revision: 3 };
    directory.replace([], held);
    const { changes } = peer.createUpdateSince(held);
    expect(changes).not.toEqual([]);
    directory.apply(changes, peer.position());
    expect(directory.endpoints()).toEqual([]);
  },
);

// Guards against an entry that starts during a restore and does not use an
// endpoint that has not written itself again yet.
test("an endpoint that the copy lacks comes from a peer until it should be back", () => {
  const peer = createTestDirectory().directory;
  peer.replace([list({ era: 1, revision: 4 })], { era: 1, revision: 4 });
  peer.replace([], { era: 2, revision: 2 });
  const { directory } = createTestDirectory();
  const held = { era: 2, revision: 2 };
  directory.replace([], held);
  directory.apply(peer.createUpdateSince(held).changes, peer.position());
  expect(directory.endpoints()).toMatchObject([{ id: "e1" }]);
});

// Guards against an endpoint that is used again after it has left, at the second
// restore: the read of the first restored store only shows that the endpoint is
// missing, and not when it was removed.
test("an endpoint that has left stays out of use over two restores", () => {
  const removal = { type: "endpoint", id: "e1", endpoint: undefined } as const;
  const { directory } = createTestDirectory();
  directory.replace([list({ era: 1, revision: 2 })], { era: 1, revision: 2 });
  directory.replace([], { era: 1, revision: 3 });
  directory.replace(
    [list({ era: 1, revision: 2 }), { ...removal, era: 2, revision: 0 }],
    { era: 2, revision: 3 },
  );
  directory.replace([list({ era: 3, revision: 2 })], { era: 3, revision: 2 });
  expect(directory.endpoints()).toEqual([]);
});

// Guards against an endpoint that is used again after it has left: the copy may
// be of an era before the removal, in which its record got a higher revision.
test("an endpoint that left in a restored store stays out of use after a later copy", () => {
  const removal = { type: "endpoint", id: "e1", endpoint: undefined } as const;
  const { directory } = createTestDirectory();
  directory.replace([list({ era: 2, revision: 2 })], { era: 2, revision: 2 });
  directory.apply([{ ...removal, era: 2, revision: 3 }], {
    era: 2,
    revision: 3,
  });
  directory.replace([list({ era: 3, revision: 3 })], { era: 3, revision: 4 });
  expect(directory.endpoints()).toEqual([]);
  const rewritten = list({ era: 3, revision: 5 });
  directory.apply([rewritten], { era: 3, revision: 5 });
  expect(directory.endpoints()).toMatchObject([{ id: "e1" }]);
});
