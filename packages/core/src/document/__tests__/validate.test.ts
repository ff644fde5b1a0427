import assert from "node:assert/strict";
import { test } from "node:test";
import { validateDocument } from "../validate.js";

const validDocument = {
    schema: 1,
    regions: [{ id: "cpt", dataCentres: [{ id: "cpt-a", entries: 2 }] }, {
        id: "jhb",
        dataCentres: [{ id: "jhb-a", entries: 1 }],
    }],
    services: [{
        id: "tokens",
        regions: ["cpt", "jhb"],
        classes: [{ id: "lookup", methods: ["GET"], pathPrefix: "/", runs: "idempotent", lane: "short" }],
    }],
    targets: [{ id: "t1", service: "tokens", dataCentre: "cpt-a", address: "127.0.0.1:9000", slots: 4 }],
    callerBlocks: [{ prefix: "10.1.0.0/16", dataCentre: "cpt-a" }],
};

test("a valid document is accepted and gets its defaults", () => {
    const document = validateDocument(validDocument).unwrapOrElse(() => assert.fail("refused"));
    assert.equal(document.targets[0]!.state, "serving");
    assert.equal(document.services[0]!.classes[0]!.deadlineMs, 10_000);
});

test("all ten semantic faults are listed", () => {
    const faults = validateDocument({
        ...validDocument,
        services: [...validDocument.services, { ...validDocument.services[0], regions: ["nowhere"] }],
        targets: [
            ...validDocument.targets,
            { ...validDocument.targets[0], service: "none", dataCentre: "gone" },
        ],
        callerBlocks: [{ prefix: "10.1.0.1/16", dataCentre: "gone" }],
        shifts: [{ id: "s", service: "tokens", from: "cpt", to: "cpt", share: 0.7, capPerSecond: 1 }, {
            id: "s2",
            service: "tokens",
            from: "cpt",
            to: "jhb",
            share: 0.7,
            capPerSecond: 1,
        }],
    }).match({ Ok: () => [], Err: found => found.map(fault => `${fault.path} ${fault.text.split(";")[0]}`) });
    assert.deepEqual(
        faults,
        [
            "services[1] \"tokens\" is a duplicate",
            "targets[1] \"t1\" is a duplicate",
            "targets.address[1] \"127.0.0.1:9000\" is a duplicate",
            "services[1].regions[0] names region \"nowhere\", which is not defined in the document",
            "targets[1].service names service \"none\", which is not defined in the document",
            "targets[1].dataCentre names data centre \"gone\", which is not defined in the document",
            "callerBlocks[0].dataCentre names data centre \"gone\", which is not defined in the document",
            "callerBlocks[0].prefix \"10.1.0.1/16\" is not an IPv4 block without host bits",
            "shifts[0].to is \"cpt\", the region that the shift moves traffic from",
            "shifts[1].share raises the total share of cpt/tokens to 1.4",
        ].map(line => line.replace("cpt/tokens", "tokens from cpt")),
    );
});

test("schema faults name the key", () => {
    const invalidDocument = {
        ...validDocument,
        extra: 1,
        targets: [{ ...validDocument.targets[0], slots: 0, address: "host:1" }],
    };
    const faults = validateDocument(invalidDocument).match({ Ok: () => [], Err: found => found.map(fault => fault.path) });
    assert.deepEqual(faults.sort(), ["extra", "targets.0.address", "targets.0.slots"]);
    for (const raw of [undefined, null, 5, "text", [], {}]) {
        assert.ok(validateDocument(raw).isErr);
    }
});
