/** The status that each process reports to operators. */

export { parseStatusReport } from "./parse_status_report.ts";
export type {
  ConfigStatus,
  RejectedDocument,
  StatusReport,
  TransferStatus,
} from "./status_report.ts";
export { createConfigStatus } from "./config_status.ts";
