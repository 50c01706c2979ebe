/**
 * The parsed configuration of one environment, written by operators. In YAML
 * the keys are snake_case; here they are camelCase, with the same units.
 */

export interface Region {
  readonly name: string;
}

export interface DataCentre {
  readonly name: string;
  readonly region: string;
  /** Set by operators to take the data centre out: it receives no new work. */
  readonly out: boolean;
}

export interface Links {
  readonly hostMbitPerS: number;
  readonly storeMbitPerS: number;
  readonly regionMbitPerS: number;
}

export interface ModelVersion {
  readonly name: string;
  /** Digest of the manifest, "sha256:" and 64 hexadecimal digits. */
  readonly digest: string;
  readonly sizeBytes: number;
}

export interface Model {
  readonly name: string;
  readonly versions: readonly ModelVersion[];
  /** Name of the version that every endpoint should serve. */
  readonly servingVersion: string;
}

export interface AdmissionLimits {
  readonly coldConcurrency: number;
  readonly warmConcurrency: number;
  /** Requests that may wait at an agent for a slot. */
  readonly maxQueued: number;
}

export interface LanguageService {
  readonly kind: "language";
  readonly name: string;
  readonly model: string;
  readonly admission: AdmissionLimits;
}

export interface Route {
  readonly method: string;
  readonly pathPrefix: string;
  /** False if a call on this route must run at most once. */
  readonly repeatable: boolean;
}

/**
 * The hosts that run non-repeatable calls whose key was created from `fromMs`
 * on.
 */
export interface RunnerSet {
  readonly fromMs: number;
  readonly runners: readonly string[];
}

export interface PlainService {
  readonly kind: "plain";
  readonly name: string;
  readonly admission: AdmissionLimits;
  readonly routes: readonly Route[];
  /** Ascending by `fromMs`. Empty when every route is repeatable. */
  readonly runnerSets: readonly RunnerSet[];
  readonly runnerLeadS: number;
  readonly maxKeys: number;
}

export type Service = LanguageService | PlainService;

export interface ClientAccount {
  readonly name: string;
  /** SHA-256 of the account's API key, hexadecimal. */
  readonly apiKeySha256: string;
  readonly requestsPerS: number;
  /** Requests with a higher priority run first. */
  readonly priority: number;
}

export interface EnvironmentDocument {
  readonly environment: string;
  readonly deployment: string;
  readonly regions: readonly Region[];
  readonly dataCentres: readonly DataCentre[];
  readonly links: Links;
  readonly models: readonly Model[];
  readonly services: readonly Service[];
  readonly clientAccounts: readonly ClientAccount[];
}
