/** How the memory and the descriptors of the process are divided among the uses that are counted. */

export interface ResourceLimits {
    /** Resident size beyond which the process is killed. */
    readonly memoryBytes: number;
    readonly fileDescriptors: number;
}

export interface ResourceShares {
    /** For all responses together, from their first byte until their callers have read them. */
    readonly responseBytes: number;
    /** For all request bodies together. */
    readonly requestBytes: number;
    /** For what callers sent and the process has not parsed yet. */
    readonly unparsedBytes: number;
    readonly callerConnections: number;
    readonly targetConnections: number;
}

const responseMemoryFraction = 0.25;
const requestMemoryFraction = 0.2;
const unparsedMemoryFraction = 0.05;
/** Descriptors that connections can't use. */
const fileDescriptorsForFiles = 200;
/** Parts of the connections for callers and for targets; the rest is for other entries, the store and operators. */
const callerConnectionFraction = 0.75;
const targetConnectionFraction = 0.2;

const shareOfConnections = (fileDescriptors: number, fraction: number): number =>
    Math.max(1, Math.floor((fileDescriptors - fileDescriptorsForFiles) * fraction));

export const divideResources = ({ memoryBytes, fileDescriptors }: ResourceLimits): ResourceShares => ({
    responseBytes: memoryBytes * responseMemoryFraction,
    requestBytes: memoryBytes * requestMemoryFraction,
    unparsedBytes: memoryBytes * unparsedMemoryFraction,
    callerConnections: shareOfConnections(fileDescriptors, callerConnectionFraction),
    targetConnections: shareOfConnections(fileDescriptors, targetConnectionFraction),
});
