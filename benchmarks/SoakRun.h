// The soak of planned work: real control hosts, nodes and targets on loopback get stops, starts, reloads and other
// signals in an order that is drawn from a seed, one after the other and overlapping, while callers use kept and new
// connections and an operator changes the configuration. There is no unplanned fault in it. It checks that
//   - no request that a process has received whole ends without a complete answer,
//   - a refused request did not run and never does, and a request that is not repeatable runs at most once,
//   - a process ends only after SIGTERM or SIGINT, by itself and with exit code 0,
//   - accepted changes of the configuration stay.
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace pomelowind::bench {

struct SoakOptions {
    uint64_t seed { 1 };
    int nodes { 5 };
    int controlHosts { 3 };
    int callersPerNode { 6 };
    int acts { 3 }; // pieces of planned work for each process
};

struct SoakReport {
    std::map<std::string, int> counts; // of requests by how they ended, signals, starts and accepted changes
    std::vector<std::string> violations; // each with what was seen, and when
    std::string folder; // logs and data; kept if POMELOWIND_KEEP_LOGS is set
};

// Runs one soak and prints each step with its time. Throws InternalFault if the mesh does not start. Thread safety: any
// thread, one run at a time.
SoakReport runSoak(const SoakOptions& options);

} // namespace pomelowind::bench
