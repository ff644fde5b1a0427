/** `npm run bench -- [forward|policy|capacity|notices|callers]`: runs one benchmark or all; each prints Markdown tables for `docs/`. */
import { callerBench } from "./callerBench.js";
import { capacityBench } from "./capacityBench.js";
import { forwardBench } from "./forwardBench.js";
import { noticeBench } from "./noticeBench.js";
import { policyBench } from "./policyBench.js";

const benches: Readonly<Record<string, () => Promise<void>>> = {
    forward: forwardBench,
    policy: policyBench,
    capacity: capacityBench,
    notices: noticeBench,
    callers: callerBench,
};

const selected = process.argv[2];
if (selected !== undefined && benches[selected] === undefined) {
    process.stderr.write(`unknown benchmark "${selected}"; expected one of ${Object.keys(benches).join(", ")}\n`);
    process.exit(2);
}
for (const [name, bench] of Object.entries(benches)) {
    if (selected === undefined || selected === name) {
        process.stdout.write(`\n## ${name}\n`);
        await bench();
    }
}
