/**
 * Mechanisms that guarantees rest on, each with a change of the source that
 * takes it away and a test that must fail then. `prove.ts` runs them.
 */

export interface Mechanism {
  /** Number of the guarantee in docs/design.md section 1.2. */
  readonly guarantee: number;
  readonly name: string;
  readonly file: string;
  readonly find: string;
  readonly replace: string;
  readonly testFile: string;
  /** Part of the name of a test that must fail. */
  readonly test: string;
}

export const MECHANISMS: readonly Mechanism[] = [
  {
    guarantee: 1,
    name: "digest check on each answer at the agent",
    file: "src/agent/relay_answer.ts",
    find: "if (isSuccess || actual !== undefined) return",
    replace: "if (isSuccess && actual === '') return",
    testFile: "src/agent/language_faults_test.ts",
    test: "an answer from another version is void",
  },
  {
    guarantee: 1,
    name: "chunk digest check before use",
    file: "src/weights/transfer.ts",
    find: "computeDigest(bytes) === digest",
    replace: "computeDigest(bytes) !== ''",
    testFile: "src/weights/weights_test.ts",
    test: "rejects a corrupt chunk of the store and asks again",
  },
  {
    guarantee: 1,
    name: "continuation only on the same digest",
    file: "src/entry/attempt.ts",
    find: "return versionDigest === continued.versionDigest;",
    replace: "return true;",
    testFile: "src/entry/faults_test.ts",
    test: "does not continue on an endpoint of another digest",
  },
  {
    guarantee: 2,
    name: "limit starts again after a restart of the engine",
    file: "src/agent/endpoint_control.ts",
    find: "if (hasChanged) admission.startOver();",
    replace: "",
    testFile: "src/agent/language_faults_test.ts",
    test: "resets the limit",
  },
  {
    guarantee: 2,
    name: "work of an earlier agent counts against the limit",
    file: "src/agent/endpoint_control.ts",
    find: "admission.setForeign(foreign);",
    replace: "admission.setForeign(0);",
    testFile: "src/agent/language_faults_test.ts",
    test: "a restarted agent counts what its endpoint runs",
  },
  {
    guarantee: 3,
    name: "agent refuses while its data centre is out",
    file: "src/agent/service_config.ts",
    find: "return found?.out ?? false;",
    replace: "return found === undefined;",
    testFile: "src/agent/language_faults_test.ts",
    test: "refuses new work only",
  },
  {
    guarantee: 4,
    name: "late frames of a finished stream are dropped",
    file: "src/wire/peer.ts",
    find: "const port = ports.get(frame.streamId);",
    replace:
      "const port = ports.get(frame.streamId) ?? [...ports.values()][0];",
    testFile: "src/wire/transport_test.ts",
    test: "drops frames that arrive for a reset stream",
  },
  {
    guarantee: 4,
    name: "an answer needs its end event",
    file: "src/agent/relay_answer.ts",
    find: 'return { type: "broken", reason: "no_done_event" };',
    replace: 'return { type: "whole" };',
    testFile: "src/agent/language_faults_test.ts",
    test: "a stream without its end event is not whole",
  },
  {
    guarantee: 5,
    name: "no hand-off after the age limit",
    file: "src/agent/hand_off.ts",
    find: "(!isLate() &&",
    replace: "(",
    testFile: "src/agent/hand_off_test.ts",
    test: "hand-off",
  },
  {
    guarantee: 5,
    name: "a stream lost after writing may have run",
    file: "src/entry/dispatch.ts",
    find: "history.loss = result.refusal;",
    replace: "history.failure = { ...result.refusal, outcome: 'not_run' };",
    testFile: "src/entry/faults_test.ts",
    test: "is unknown when lost",
  },
  {
    guarantee: 6,
    name: "key floor of a restarted agent",
    file: "src/idempotency/key_floor.ts",
    find: "keyTimeMs <= valueMs",
    replace: "keyTimeMs < 0",
    testFile: "src/idempotency/key_table_test.ts",
    test: "",
  },
  {
    guarantee: 6,
    name: "eviction raises the key floor",
    file: "src/idempotency/key_table.ts",
    find: "floor.raise(entry.keyTimeMs);",
    replace: "",
    testFile: "src/idempotency/key_table_test.ts",
    test: "",
  },
  {
    guarantee: 6,
    name: "runner from the configured set",
    file: "src/idempotency/runner_choice.ts",
    find: "next.fromMs <= keyTimeMs",
    replace: "next.fromMs >= 0",
    testFile: "src/idempotency/runner_choice_test.ts",
    test: "does not move old keys when a set is added",
  },
  {
    guarantee: 7,
    name: "entry leaves out hosts that the list calls leaving",
    file: "src/routing/list_candidates.ts",
    find: "const leaving = listLeaving(hosts);",
    replace: "const leaving = new Set<string>(listLeaving(hosts) && []);",
    testFile: "src/routing/routing_test.ts",
    test: "",
  },
  {
    guarantee: 8,
    name: "agent waits for requests in progress",
    file: "src/agent/agent.ts",
    find: "while (ongoing.size > 0 && !isOver) {",
    replace: "while (isOver) {",
    testFile: "src/agent/language_faults_test.ts",
    test: "shutdown waits for streams in progress",
  },
  {
    guarantee: 9,
    name: "an older version is never accepted",
    file: "src/snapshots/snapshot_store.ts",
    find: "if (version < heldVersion) {",
    replace: "if (version < 0) {",
    testFile: "src/node/start_node_test.ts",
    test: "ignores a platform that falls back to an older version",
  },
  {
    guarantee: 9,
    name: "comparison of versions after a pause",
    file: "src/node/wake_check.ts",
    find: "isWaking: () => isWaking || detector.isLate(),",
    replace: "isWaking: () => detector === undefined,",
    testFile: "src/node/start_node_test.ts",
    test: "pause",
  },
  {
    guarantee: 4,
    name: "two crashes quarantine a request",
    file: "src/quarantine/quarantine.ts",
    find: "const CRASHES_TO_QUARANTINE = 2;",
    replace: "const CRASHES_TO_QUARANTINE = 9;",
    testFile: "src/agent/language_faults_test.ts",
    test: "two crashes quarantine only the request itself",
  },
  {
    guarantee: 4,
    name: "retry budget",
    file: "src/entry/choose_step.ts",
    find: "else if (!budget.take(cause)) {",
    replace: "else if (budget === undefined) {",
    testFile: "src/entry/faults_test.ts",
    test: "stops retrying when the budget is used up",
  },
  {
    guarantee: 4,
    name: "a request that lost its endpoint goes before new ones",
    file: "src/agent/handle_request.ts",
    find: "hasLostEndpoint === true ? Infinity : priority",
    replace: "hasLostEndpoint === true ? priority : priority",
    testFile: "src/agent/language_faults_test.ts",
    test: "a request that lost its endpoint goes before a full queue",
  },
  {
    guarantee: 4,
    name: "a full queue drops the lowest priority",
    file: "src/admission/admission.ts",
    find: "if (isQueueFull()) dropLowest();",
    replace: "",
    testFile: "src/admission/admission_test.ts",
    test: "higher priority first; a full queue drops the lowest",
  },
];
