/** Hosts as listed by the platform. */

export interface Host {
  readonly name: string;
  readonly role: "entry" | "endpoint";
  /** Service of the endpoint; absent for entry hosts. */
  readonly service?: string;
  readonly dataCentre: string;
  /** "IP:port" of the host's zinniaspur process. */
  readonly peerAddress: string;
  readonly state: "live" | "leaving";
}

export interface HostList {
  readonly sequence: number;
  readonly hosts: readonly Host[];
}
