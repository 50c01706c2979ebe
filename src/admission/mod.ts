/** Admission control of one endpoint: concurrency limit, queue, refusals. */

export { createAdmission } from "./admission.ts";
export type {
  Admission,
  AdmissionCondition,
  AdmissionOptions,
  AdmissionRequest,
  Refusal,
  Slot,
  SlotResult,
  AdmissionTicket,
} from "./admission.ts";
