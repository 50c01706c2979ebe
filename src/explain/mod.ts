/** Explains the outcomes of requests from logs. */

export { explainRequest, listKnownReasons } from "./explain_request.ts";
export type { Explanation } from "./explain_request.ts";
export { plotPeriod } from "./plot_period.ts";
export { parseRecords } from "./parse_records.ts";
export type { LogRecord, ParsedRecords } from "./parse_records.ts";
export { listCallOutcomes, reportPeriod } from "./report_period.ts";
export type {
  CallOutcome,
  DependencyLoss,
  OutcomeRow,
  PeriodReport,
} from "./report_period.ts";
