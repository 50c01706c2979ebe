/**
 * Statuses that a final response may have. An endpoint in trouble sends others,
 * and parsers pass on any three digits.
 */

const MIN_FINAL_STATUS = 200;
const MAX_FINAL_STATUS = 599;

export function isFinalStatus(status: number): boolean {
  return status >= MIN_FINAL_STATUS && status <= MAX_FINAL_STATUS;
}

/** A response that comes before the final one. */
export function isInformationalStatus(status: number): boolean {
  return status >= 100 && status < MIN_FINAL_STATUS;
}
