import { expect, test } from "@jest/globals";
import { createSentEventIds } from "./sent_event_ids.ts";

interface Case {
  readonly resumedAfterId?: string;
  readonly sent: readonly string[];
  readonly firstId: string | undefined;
  readonly isContinued: boolean;
}

// Guards against events that are sent twice or skipped where two runs meet,
// and against runs that are refused although their ids only increase.
test.each<Case>([
  { sent: ["1", "2"], firstId: "3", isContinued: true },
  { sent: ["1", "2"], firstId: "2", isContinued: false },
  { sent: ["1", "2"], firstId: "1", isContinued: false },
  { sent: ["1", "2"], firstId: "4", isContinued: false },
  { sent: ["9", "10"], firstId: "11", isContinued: true },
  { sent: ["1", "2"], firstId: undefined, isContinued: false },
  { sent: [], firstId: "1", isContinued: false },
  { sent: ["1"], firstId: "4", isContinued: true },
  { sent: ["1", "4"], firstId: "7", isContinued: true },
  { sent: ["1", "4"], firstId: "4", isContinued: false },
  { resumedAfterId: "12", sent: ["13"], firstId: "15", isContinued: false },
  { resumedAfterId: "12", sent: ["15"], firstId: "17", isContinued: true },
  { sent: ["a", "b"], firstId: "c", isContinued: true },
  { sent: ["a", "b"], firstId: "b", isContinued: false },
])(
  "after events $sent, a run that begins with $firstId is joined: $isContinued",
  ({ resumedAfterId, sent, firstId, isContinued }) => {
    const ids = createSentEventIds(resumedAfterId);
    ids.append(sent);
    expect(ids.isContinuedBy(firstId)).toBe(isContinued);
  },
);
