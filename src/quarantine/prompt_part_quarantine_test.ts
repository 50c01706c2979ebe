import { describe, expect, test } from "@jest/globals";
import { SILENT_LOGGER } from "../directory/testing/mod.ts";
import { createRandom } from "../../bench/random.ts";
import type { PromptPartNotice } from "../wire/mod.ts";
import { createPromptPartQuarantine } from "./mod.ts";

/** Entries whose notices reach the entries that are connected, at once. */
function createEntries(count: number) {
  let nowMs = 1_000_000;
  let timers: { readonly atMs: number; readonly handle: () => void }[] = [];
  const isConnected = Array.from({ length: count }, () => true);
  const entries = Array.from({ length: count }, (_, rank) => {
    const sent: PromptPartNotice[] = [];
    const quarantine = createPromptPartQuarantine({
      nowMs: () => nowMs,
      send(notice) {
        sent.push(notice);
        if (isConnected[rank]) deliver(rank, notice);
      },
      rankForTrial: () => rank,
      schedule: (handle, delayMs) =>
        void timers.push({ atMs: nowMs + delayMs, handle }),
      logger: SILENT_LOGGER,
    });
    return { quarantine, sent };
  });

  function deliver(from: number, notice: PromptPartNotice) {
    entries.forEach(({ quarantine }, to) => {
      if (to !== from && isConnected[to]) quarantine.applyNotice(notice);
    });
  }

  return {
    quarantines: entries.map(({ quarantine }) => quarantine),
    sent: entries.map(({ sent }) => sent),
    advance(ms: number) {
      nowMs += ms;
      const due = timers.filter(({ atMs }) => atMs <= nowMs);
      timers = timers.filter(({ atMs }) => atMs > nowMs);
      due.forEach(({ handle }) => handle());
    },
    disconnect: (index: number) => void (isConnected[index] = false),
    reconnect(index: number) {
      isConnected[index] = true;
      entries[0]!.quarantine
        .listNotices()
        .forEach((notice) => entries[index]!.quarantine.applyNotice(notice));
    },
  };
}

/** Entries that have seen enough requests to know the usual parts. */
function createInformedEntries(count: number) {
  const entries = createEntries(count);
  entries.quarantines.forEach((quarantine) =>
    Array.from({ length: 50 }, () => quarantine.recordSurvival(["usual"])),
  );
  entries.advance(1_000);
  return entries;
}

function crashTwice({
  quarantines,
  advance,
}: ReturnType<typeof createEntries>) {
  ["a", "b"].forEach((name, index) => {
    quarantines[index % quarantines.length]!.recordCrash({
      endpoint: `endpoint-${name}`,
      request: `request-${name}`,
      parts: ["usual", "deadly"],
    });
    advance(150);
  });
}

describe("a prompt part that crashes endpoints", () => {
  // Guards against one crashed endpoint after the other, while each entry
  // learns for itself and no two requests are alike.
  test("is refused at all entries after two crashes, without its sound co-parts", () => {
    const entries = createInformedEntries(3);
    crashTwice(entries);
    entries.quarantines.forEach((quarantine) => {
      expect(quarantine.checkRequest(["usual", "deadly"])).toMatchObject({
        part: "deadly",
      });
      expect(quarantine.checkRequest(["usual"])).toBeUndefined();
      expect(quarantine.isSuspected(["other", "usual"])).toBe(false);
    });
  });

  // Guards against a verdict that an entry misses while it is cut off.
  test("is refused at an entry that was cut off, once it is connected again", () => {
    const entries = createInformedEntries(3);
    entries.disconnect(2);
    crashTwice(entries);
    const [, , cutOff] = entries.quarantines;
    expect(cutOff!.checkRequest(["deadly"])).toBeUndefined();
    entries.reconnect(2);
    expect(cutOff!.checkRequest(["deadly"])).toBeDefined();
  });

  // Guards against crashes by requests that already run elsewhere.
  test("ends the requests in progress that have it", () => {
    const entries = createInformedEntries(1);
    const [quarantine] = entries.quarantines;
    let ended: string[] = [];
    const watch = (name: string, parts: string[]) =>
      quarantine!.watch(parts, () => void (ended = [...ended, name]));
    watch("same", ["deadly"]);
    watch("closed", ["deadly"]).close();
    watch("sound", ["usual"]);
    crashTwice(entries);
    expect(ended).toEqual(["same"]);
  });

  // Guards against several entries that try the part again at once, and
  // against trials at a constant rate.
  test("is tried again by one request at one entry, ever more rarely", () => {
    const entries = createInformedEntries(3);
    const [first, second, third] = entries.quarantines;
    crashTwice(entries);
    entries.advance(14_000);
    expect(first!.checkRequest(["deadly"])).toBeDefined();
    entries.advance(1_000);
    expect(third!.checkRequest(["deadly"])).toBeDefined();
    expect(first!.checkRequest(["deadly"])).toBeUndefined();
    first!.recordSend(["deadly"]);
    expect(first!.isSuspected(["deadly"])).toBe(true);
    expect(first!.checkRequest(["deadly"])).toBeDefined();
    expect(second!.checkRequest(["deadly"])).toBeDefined();
    first!.recordCrash({ endpoint: "c", request: "c", parts: ["deadly"] });
    [first, second, third].forEach((quarantine) => {
      const { remainingMs } = quarantine!.checkRequest(["deadly"])!;
      expect(remainingMs).toBeGreaterThan(55_000);
    });
  });

  // Guards against a rare sound part that stays refused for as long as the
  // deadly one, because so far it came with that one only.
  test("is told apart from a part that came with it by a request with the latter alone", () => {
    const entries = createInformedEntries(3);
    const [first, second, third] = entries.quarantines;
    ["a", "b"].forEach((name, index) => {
      entries.quarantines[index]!.recordCrash({
        endpoint: `endpoint-${name}`,
        request: `request-${name}`,
        parts: ["rare", "deadly"],
      });
      entries.advance(150);
    });
    expect(second!.checkRequest(["rare"])).toMatchObject({ part: "rare" });
    entries.advance(1_000);
    expect(first!.checkRequest(["rare", "deadly"])).toBeDefined();
    expect(first!.checkRequest(["rare"])).toBeUndefined();
    first!.recordSend(["rare"]);
    expect(first!.checkRequest(["rare"])).toBeDefined();
    expect(second!.checkRequest(["rare"])).toBeDefined();
    first!.recordSurvival(["rare"]);
    [first, second, third].forEach((quarantine) => {
      expect(quarantine!.checkRequest(["rare"])).toBeUndefined();
      expect(quarantine!.checkRequest(["rare", "deadly"])).toMatchObject({
        part: "deadly",
      });
    });
  });

  test("is released everywhere by a request that survives", () => {
    const entries = createInformedEntries(3);
    crashTwice(entries);
    entries.quarantines[1]!.recordSurvival(["usual", "deadly"]);
    entries.quarantines.forEach((quarantine) =>
      expect(quarantine.checkRequest(["deadly"])).toBeUndefined(),
    );
  });

  // Guards against a fleet-wide loss when a part that was sound turns deadly.
  test("is refused after five crashes without an answer, if it was sound before", () => {
    const entries = createInformedEntries(2);
    const crash = (index: number) => {
      entries.quarantines[index % 2]!.recordCrash({
        endpoint: `endpoint-${index}`,
        request: `request-${index}`,
        parts: ["usual"],
      });
      entries.advance(200);
    };
    [1, 2, 3, 4].forEach(crash);
    expect(entries.quarantines[0]!.isSuspected(["usual"])).toBe(false);
    crash(5);
    expect(entries.quarantines[0]!.isSuspected(["usual"])).toBe(true);
  });
});

describe("sound prompt parts are not refused", () => {
  // Guards against blaming the parts of one request that crashes endpoints by
  // the rest of its contents, and is sent again and again.
  test("when a single request crashes endpoints", () => {
    const entries = createInformedEntries(1);
    const [quarantine] = entries.quarantines;
    ["a", "b", "c", "d", "e", "f"].forEach((endpoint) => {
      quarantine!.recordCrash({ endpoint, request: "same", parts: ["rare"] });
      entries.advance(500);
    });
    expect(quarantine!.isSuspected(["rare"])).toBe(false);
  });

  // Guards against blaming what ran in a data centre that lost power.
  test("when many endpoints end at the same moment", () => {
    const entries = createInformedEntries(2);
    Array.from({ length: 10 }, (_, index) => {
      entries.quarantines[index % 2]!.recordCrash({
        endpoint: `endpoint-${index}`,
        request: `request-${index}`,
        parts: ["usual", "rare"],
      });
      entries.advance(2);
    });
    expect(entries.quarantines[0]!.isSuspected(["usual", "rare"])).toBe(false);
  });

  // Guards against blaming a part for an endpoint that resets connections.
  test("when one endpoint breaks off many requests", () => {
    const entries = createInformedEntries(1);
    const [quarantine] = entries.quarantines;
    Array.from({ length: 20 }, (_, index) => {
      quarantine!.recordCrash({
        endpoint: "grey",
        request: `request-${index}`,
        parts: ["usual", "rare"],
      });
      entries.advance(150);
    });
    expect(quarantine!.isSuspected(["usual", "rare"])).toBe(false);
  });

  // Guards against notices that circulate without end.
  test("and a notice is new only once", () => {
    const { quarantines, sent } = createInformedEntries(2);
    quarantines[0]!.recordCrash({ endpoint: "a", request: "a", parts: ["p"] });
    quarantines[0]!.recordSurvival(["p"]);
    const [crash, survival] = sent[0]!;
    expect(quarantines[1]!.applyNotice(crash!)).toBe(false);
    expect(quarantines[1]!.applyNotice(survival!)).toBe(false);
  });

  // Guards against a flood: a survival that is older than a crash leaves the
  // part suspected, and ages differ by the time that a notice takes.
  test("and a survival is new only once, although its age differs", () => {
    const { quarantines, advance } = createInformedEntries(1);
    const [quarantine] = quarantines;
    const survival = { topic: "part_survived" as const, parts: ["p"] };
    quarantine!.recordCrash({ endpoint: "a", request: "a", parts: ["p"] });
    advance(150);
    expect(quarantine!.applyNotice({ ...survival, ageMs: 500 })).toBe(true);
    advance(20);
    expect(quarantine!.applyNotice({ ...survival, ageMs: 500 })).toBe(false);
    expect(quarantine!.applyNotice({ ...survival, ageMs: 900 })).toBe(false);
  });

  // Guards against a verdict on a part that only ran beside the guilty one,
  // while the entry that sent the guilty request has not reported yet.
  test("while the evidence of a crash is not complete", () => {
    const entries = createInformedEntries(2);
    const [quarantine] = entries.quarantines;
    const crash = (name: string, parts: readonly (readonly string[])[]) =>
      parts.forEach((of, index) =>
        quarantine!.recordCrash({
          endpoint: name,
          request: `${name}-${index}`,
          parts: of,
        }),
      );
    crash("a", [["rare"], ["deadly"]]);
    entries.advance(200);
    crash("b", [["deadly"]]);
    entries.advance(150);
    crash("c", [["rare"]]);
    entries.advance(30);
    crash("c", [["rare"], ["deadly"]]);
    entries.advance(150);
    expect(quarantine!.checkRequest(["deadly"])).toBeDefined();
    expect(quarantine!.checkRequest(["rare"])).toBeUndefined();
  });

  // Guards against a verdict that other entries keep, and give back, after the
  // crashes have turned out to have another cause.
  test("once later crashes show another cause, at any entry", () => {
    const entries = createInformedEntries(3);
    const [first] = entries.quarantines;
    const crash = (name: string, parts: readonly string[]) => {
      parts.forEach((part) =>
        first!.recordCrash({
          endpoint: name,
          request: `${name}-${part}`,
          parts: [part],
        }),
      );
      entries.advance(150);
    };
    entries.disconnect(2);
    crash("a", ["rare"]);
    crash("b", ["rare", "deadly"]);
    entries.reconnect(2);
    expect(entries.quarantines[2]!.checkRequest(["rare"])).toBeDefined();
    crash("c", ["deadly"]);
    crash("d", ["deadly"]);
    entries.quarantines.forEach((quarantine) => {
      expect(quarantine.checkRequest(["deadly"])).toBeDefined();
      expect(quarantine.checkRequest(["rare"])).toBeUndefined();
    });
  });

  // Load: each crash breaks off one request with the deadly part and fifteen
  // others, whose parts are drawn by popularity; few requests survive between
  // two crashes, because most endpoints are restarting.
  test("in a storm of crashes, in which only the deadly part is found", () => {
    const outcomes = Array.from({ length: 200 }, (_, seed) => playStorm(seed));
    const mostCrashes = Math.max(...outcomes.map(({ crashes }) => crashes));
    const wronglyRefused = outcomes.flatMap(({ refused }) => refused);
    expect(mostCrashes).toBeLessThanOrEqual(3);
    expect(wronglyRefused).toEqual([]);
  });
});

const SOUND_PARTS = Array.from({ length: 60 }, (_, index) => `sound-${index}`);

function playStorm(seed: number) {
  const random = createRandom(seed);
  const entries = createEntries(4);
  const drawPart = () => SOUND_PARTS[Math.floor(60 * random() ** 2)]!;
  const drawEntry = () => entries.quarantines[Math.floor(4 * random())]!;
  Array.from({ length: 400 }, () => drawEntry().recordSurvival([drawPart()]));
  let crashes = 0;
  while (entries.quarantines[0]!.checkRequest(["deadly"]) === undefined) {
    crashes += 1;
    entries.advance(110 + 300 * random());
    const endpoint = `endpoint-${crashes}`;
    const broken = [
      ["deadly", drawPart()],
      ...Array.from({ length: 15 }, () => [drawPart()]),
    ];
    broken
      .map((parts) => ({ parts, order: random() }))
      .sort((a, b) => a.order - b.order)
      .forEach(({ parts }, index) =>
        drawEntry().recordCrash({
          endpoint,
          request: `${crashes}-${index}`,
          parts,
        }),
      );
    Array.from({ length: 3 }, () => drawEntry().recordSurvival([drawPart()]));
  }
  const refused = SOUND_PARTS.filter((part) =>
    entries.quarantines.some((quarantine) => quarantine.isSuspected([part])),
  );
  return { crashes, refused };
}
