#include "pomelowind/node/NodeSettings.h"

#include <algorithm>
#include <cmath>

namespace pomelowind::node {

namespace {

    using base::Millis;

    constexpr size_t MIN_MESH_KEY_BYTES = 16;
    constexpr int64_t MIB = 1024 * 1024;
    // Part of the time until the process is killed that a stop leaves for the last answers and for ending the threads
    // on a busy host.
    constexpr auto KILL_RESERVE = Millis(800);
    constexpr double MS_PER_SECOND = 1000;
    // A shorter lease could end before it is renewed across data centres; see docs/design/leases.md.
    constexpr double MIN_REVOKE_MS = 2000;
    constexpr double MAX_REVOKE_MS = 600000;

    void readControlHosts(base::SettingsReader& reader, NodeSettings& out)
    {
        for (auto& it : reader.mappings("control")) {
            out.control.push_back({ it.text("id"), it.text("data_centre"), it.address("address") });
            it.checkUnknownKeys();
        }
        if (out.control.empty())
            reader.recordProblem("control", "is empty", "list the control hosts of the mesh");
    }

    void readSeeds(base::SettingsReader& reader, NodeSettings& out)
    {
        for (const auto& it : reader.optionalTexts("seeds", {})) {
            try {
                out.seeds.push_back(base::parseAddress(it));
            } catch (const std::exception&) {
                reader.recordProblem("seeds", "holds '" + it + "', which is not an address", "write IP:PORT");
            }
        }
    }

}

NodeSettings readNodeSettings(const std::string& file)
{
    auto reader = base::SettingsReader::fromFile(file);
    NodeSettings out;
    out.mesh = reader.text("mesh");
    out.meshKey = reader.text("mesh_key");
    out.usesDiscovery = reader.has("control_seeds");
    out.dataCentre = reader.text("data_centre");
    out.callerAddress = reader.address("caller_address");
    out.meshAddress = reader.address("mesh_address");
    out.id = out.usesDiscovery ? out.meshAddress.text() : reader.text("id");
    out.callAddress = reader.address("call_address");
    out.announceAddress = reader.address("announce_address");
    out.metricsAddress = reader.address("metrics_address");
    out.meshAdvertised = reader.has("mesh_advertised") ? reader.address("mesh_advertised") : out.meshAddress;
    out.callAdvertised = reader.has("call_advertised") ? reader.address("call_advertised") : out.callAddress;
    out.logLevel = reader.text("log_level", "info");
    if (out.usesDiscovery) {
        for (const auto& it : base::seedAddresses(reader, "control_seeds", out.meshAddress.port))
            out.control.push_back({ it.text(), {}, it });
    } else {
        readControlHosts(reader, out);
    }
    out.relays = reader.flag("relays", true);
    out.protocol = reader.text("protocol", out.protocol);
    if (out.protocol != "product" && out.protocol != "platform")
        reader.recordProblem("protocol", "is neither product nor platform", "use product or platform");
    if (reader.has("ready_address"))
        out.readyAddress = reader.address("ready_address");
    if (reader.has("target_address"))
        out.targetAddress = reader.address("target_address");
    out.localService = reader.text("local_service", "");
    if (reader.has("kill_after_s")) {
        auto killAfter = Millis(std::lround(reader.real("kill_after_s", 0, 1, 600) * MS_PER_SECOND));
        out.stopTimeout = std::max(Millis(100), killAfter - KILL_RESERVE);
    }
    out.stopTimeout = reader.millis("stop_timeout_ms", out.stopTimeout, Millis(100), Millis(600000));
    out.retryReserve = reader.real("retry_reserve", out.retryReserve, 0, 10000);
    out.retrySlack = reader.real("retry_slack", out.retrySlack, 0, 100000);
    out.retryBurst = reader.real("retry_burst", out.retryBurst, 0.1, 10000);
    readSeeds(reader, out);
    for (const auto& it : reader.optionalTexts("services", {}))
        out.services.insert(it);
    out.targetLease = reader.millis("target_lease_ms", out.targetLease, Millis(500), Millis(60000));
    out.coldStart = reader.millis("cold_start_ms", out.coldStart, Millis(0), Millis(600000));
    out.coldStartPercent = reader.integer("cold_start_percent", out.coldStartPercent, 1, 100);
    out.targetConnections = reader.integer("target_connections", out.targetConnections, 1, 10000);
    out.maxBodyBytes = reader.integer("max_body_bytes", out.maxBodyBytes, 1024, 128 * MIB);
    out.crossingMsPerKilobyte = reader.real("crossing_ms_per_kilobyte", out.crossingMsPerKilobyte, 0, 1000);
    out.bodyMemoryBytes = reader.integer("body_memory_bytes", out.bodyMemoryBytes, MIB, 4096 * MIB);
    if (out.bodyMemoryBytes < out.maxBodyBytes)
        reader.recordProblem("body_memory_bytes", "is less than max_body_bytes", "set it to at least max_body_bytes");
    out.callerTimeout = reader.millis("caller_timeout_ms", out.callerTimeout, Millis(100), Millis(600000));
    out.slowCallerBytesPerSecond
        = reader.integer("slow_caller_bytes_per_s", out.slowCallerBytesPerSecond, 0, 1024 * MIB);
    out.pipelineDepth = reader.integer("pipeline_depth", out.pipelineDepth, 1, 10000);
    out.pipelineBytes = reader.integer("pipeline_bytes", out.pipelineBytes, 1024, 1024 * MIB);
    out.drainGrace = reader.millis("drain_grace_ms", out.drainGrace, Millis(0), Millis(60000));
    out.claimMemoryBytes = reader.integer("claim_memory_bytes", out.claimMemoryBytes, MIB / 16, 1024 * MIB);
    out.retryShare = reader.real("retry_share", out.retryShare, 0, 1);
    out.firstAttemptPercent = reader.integer("first_attempt_percent", out.firstAttemptPercent, 1, 100);
    out.quota = callers::readQuotaBounds(reader);
    if (reader.has("revoke_ms"))
        out.lease.revoke = Millis(std::lround(std::floor(reader.real("revoke_ms", 0, MIN_REVOKE_MS, MAX_REVOKE_MS))));
    out.limitsEnabled = reader.flag("limits_enabled", true);
    if (out.meshKey.size() < MIN_MESH_KEY_BYTES)
        reader.recordProblem(
            "mesh_key", "is shorter than 16 characters", "use a random key, the same on all processes of the mesh");
    reader.finish();
    return out;
}

} // namespace pomelowind::node
