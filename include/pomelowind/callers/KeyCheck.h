// Decides whether a call may be served as far as keys of client accounts are concerned, where the configuration has
// such accounts. Pure decision logic without I/O.
#pragma once

namespace pomelowind::callers {

// What a node knows about the origin of a call.
struct KeyEvidence {
    bool needsKey { true }; // its route serves only calls with a key
    bool hasKey { false };
    bool mayHonourKeys { true }; // the configuration is known to be recent enough, or need not be
    bool isKnown { false }; // the key belongs to a client account
    bool namesParent { false }; // its request id names another call as its parent
    bool parentRuns { false }; // the parent runs at a target of this host
    bool parentMayRun { false }; // the parent may run there without the node's knowledge
};

enum class KeyVerdict { Admitted, Unauthorized, ParentUnknown, LeaseEnded };

// Thread safety: pure.
inline KeyVerdict checkKey(const KeyEvidence& evidence)
{
    // Without a lease nothing is known about a key: neither that it is valid nor that it is not.
    if (evidence.needsKey && evidence.hasKey && !evidence.mayHonourKeys)
        return KeyVerdict::LeaseEnded;
    if (!evidence.needsKey || evidence.isKnown)
        return KeyVerdict::Admitted;
    if (evidence.hasKey || !evidence.namesParent)
        return KeyVerdict::Unauthorized;
    if (evidence.parentRuns)
        return KeyVerdict::Admitted;
    return evidence.parentMayRun ? KeyVerdict::ParentUnknown : KeyVerdict::Unauthorized;
}

} // namespace pomelowind::callers
