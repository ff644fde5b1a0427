/**
 * Branded identifier types. The brand lets the compiler reject, for example, a target id where an instance id is
 * expected; at run time each id is a plain string or number.
 */

declare const brand: unique symbol;

/** A `Base` value with a nominal type, distinguished by `Name` at compile time only. */
export type Branded<Base, Name extends string> = Base & { readonly [brand]: Name; };

/** Identifies one incarnation of an entry, `<host>:<port>/<start time in base 36>-<random>`. Changes on restart. */
export type InstanceId = Branded<string, "InstanceId">;
/** Network address, `host:port`: of an entry on the mesh or of a target. Unchanged by a restart of the process. */
export type Address = Branded<string, "Address">;
export type RegionId = Branded<string, "RegionId">;
export type DataCentreId = Branded<string, "DataCentreId">;
export type ServiceId = Branded<string, "ServiceId">;
/** Name of a workspace, a customer of the deployment's operator. */
export type WorkspaceId = Branded<string, "WorkspaceId">;
/** SHA-256 digest of a workspace's key; keys themselves are not kept. */
export type KeyDigest = Branded<string, "KeyDigest">;
/** Identifies a request class of a service, such as a lookup or a redeem. */
export type ClassId = Branded<string, "ClassId">;
export type TargetId = Branded<string, "TargetId">;
/** Identifies one incarnation of a target; changes on restart. */
export type TargetIncarnationId = Branded<string, "TargetIncarnationId">;
/** Identifies a caller's request on every hop between the first entry and the target. */
export type RequestId = Branded<string, "RequestId">;
/** Identifies one attempt of a request at a target or peer. */
export type AttemptId = Branded<number, "AttemptId">;
/**
 * Identifies an operator's change. It is stored in the document, so that reading the document back resolves the outcome
 * of a write whose response was lost.
 */
export type ChangeId = Branded<string, "ChangeId">;
/** Revision of the document, starting at 1. */
export type Revision = Branded<number, "Revision">;
/** A one-time permit to run one request, see `tickets/ticketRegistry`. */
export type Ticket = Branded<string, "Ticket">;
/** Hash of method, path and body; equal for requests with the same content. */
export type Fingerprint = Branded<string, "Fingerprint">;

export const toInstanceId = (text: string): InstanceId => text as InstanceId;
export const toAddress = (text: string): Address => text as Address;
export const toRegionId = (text: string): RegionId => text as RegionId;
export const toDataCentreId = (text: string): DataCentreId => text as DataCentreId;
export const toServiceId = (text: string): ServiceId => text as ServiceId;
export const toWorkspaceId = (text: string): WorkspaceId => text as WorkspaceId;
export const toClassId = (text: string): ClassId => text as ClassId;
export const toTargetId = (text: string): TargetId => text as TargetId;
export const toTargetIncarnationId = (text: string): TargetIncarnationId => text as TargetIncarnationId;
export const toRequestId = (text: string): RequestId => text as RequestId;
export const toAttemptId = (value: number): AttemptId => value as AttemptId;
export const toChangeId = (text: string): ChangeId => text as ChangeId;
export const toRevision = (value: number): Revision => value as Revision;
export const toTicket = (text: string): Ticket => text as Ticket;
export const toFingerprint = (text: string): Fingerprint => text as Fingerprint;

/** Returns the address part of an instance id. */
export function addressOf(instance: InstanceId): Address {
    return toAddress(instance.slice(0, instance.indexOf("/")));
}
