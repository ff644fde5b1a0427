/**
 * Branded identifiers. A brand keeps, for example, a target id from being passed where an instance id is meant;
 * at run time each is a plain string or number.
 */

declare const brand: unique symbol;

/** A value of type `Base` that is told apart by `Name` at compile time only. */
export type Branded<Base, Name extends string> = Base & { readonly [brand]: Name; };

/** Names one run of one entry: `<host>:<port>/<start time in base 36>-<random>`. A restarted entry is a new one. */
export type InstanceId = Branded<string, "InstanceId">;
/** Mesh address of an entry, `host:port`. Stays the same when the process restarts. */
export type Address = Branded<string, "Address">;
export type RegionId = Branded<string, "RegionId">;
export type DataCentreId = Branded<string, "DataCentreId">;
export type ServiceId = Branded<string, "ServiceId">;
/** Names one kind of request of a service, such as a lookup or a redeem. */
export type ClassId = Branded<string, "ClassId">;
export type TargetId = Branded<string, "TargetId">;
/** Names one run of one target, between two of its starts. */
export type TargetIncarnationId = Branded<string, "TargetRun">;
/** Names one caller's request on every hop from the first entry to the target and back. */
export type RequestId = Branded<string, "RequestId">;
/** Names one try of a request at one target or peer. */
export type AttemptId = Branded<number, "AttemptId">;
/** Names one operator's change; written inside the document so that a lost answer can be resolved by reading back. */
export type ChangeId = Branded<string, "ChangeId">;
/** Counts accepted documents, from 1. */
export type Revision = Branded<number, "Revision">;
/** A one-time permit to run one request, see `tickets/ticketBook`. */
export type Ticket = Branded<string, "Ticket">;
/** Hash of what makes two requests the same work: method, path and body. */
export type Fingerprint = Branded<string, "Fingerprint">;

export const toInstanceId = (text: string): InstanceId => text as InstanceId;
export const toAddress = (text: string): Address => text as Address;
export const toRegionId = (text: string): RegionId => text as RegionId;
export const toDataCentreId = (text: string): DataCentreId => text as DataCentreId;
export const toServiceId = (text: string): ServiceId => text as ServiceId;
export const toClassId = (text: string): ClassId => text as ClassId;
export const toTargetId = (text: string): TargetId => text as TargetId;
export const toTargetIncarnationId = (text: string): TargetIncarnationId => text as TargetIncarnationId;
export const toRequestId = (text: string): RequestId => text as RequestId;
export const toAttemptId = (value: number): AttemptId => value as AttemptId;
export const toChangeId = (text: string): ChangeId => text as ChangeId;
export const toRevision = (value: number): Revision => value as Revision;
export const toTicket = (text: string): Ticket => text as Ticket;
export const toFingerprint = (text: string): Fingerprint => text as Fingerprint;

/** Address part of an instance id. */
export function addressOf(instance: InstanceId): Address {
    return toAddress(instance.slice(0, instance.indexOf("/")));
}
