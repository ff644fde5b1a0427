/** Signals on which a program does not act; in a module of its own, as they are taken over before any other is loaded. */

/**
 * Signals that would end the process although they don't ask for it; SIGUSR1 would open Node's inspector. SIGQUIT and SIGABRT are
 * left alone: they ask for an end at once, with a core dump. Those of a faulty instruction or access can't be survived.
 */
export const ignoredSignals = [
    "SIGUSR1",
    "SIGUSR2",
    "SIGALRM",
    "SIGVTALRM",
    "SIGPROF",
    "SIGIO",
    "SIGPWR",
    "SIGSTKFLT",
    "SIGXCPU",
    "SIGXFSZ",
] as const;
