#include "pomelowind/control/ControlSettings.h"

#include <algorithm>

namespace pomelowind::control {

namespace {

    using base::Millis;

    constexpr size_t LEAST_KEY_BYTES = 16;

}

ControlSettings readControlSettings(const std::string& file)
{
    auto reader = base::SettingsReader::fromFile(file);
    ControlSettings out;
    out.mesh = reader.text("mesh");
    out.meshKey = reader.text("mesh_key");
    out.id = reader.text("id");
    out.dataCentre = reader.text("data_centre");
    out.meshAddress = reader.address("mesh_address");
    out.operatorAddress = reader.address("operator_address");
    out.metricsAddress = reader.address("metrics_address");
    out.dataFolder = reader.text("data_folder");
    out.logLevel = reader.text("log_level", "info");
    out.electionTimeout = reader.millis("election_timeout_ms", out.electionTimeout, Millis(100), Millis(10000));
    out.heartbeat = reader.millis("heartbeat_ms", out.heartbeat, Millis(10), Millis(2000));
    out.claimLead = reader.millis("claim_lead_ms", out.claimLead, Millis(5000), Millis(120000));
    out.snapshotEvery = reader.integer("snapshot_every", out.snapshotEvery, 10, 1000000);
    if (reader.has("source_address"))
        out.sourceAddress = reader.address("source_address");
    out.sourcePeriod = reader.millis("source_period_ms", out.sourcePeriod, Millis(50), Millis(3600000));
    for (auto& it : reader.items("members")) {
        out.members.push_back({ it.text("id"), it.address("address") });
        it.checkUnknownKeys();
    }
    out.roles = operators::Roles::fromSettings(reader);
    if (out.meshKey.size() < LEAST_KEY_BYTES)
        reader.problem(
            "mesh_key", "is shorter than 16 characters", "use a random key, the same on all processes of the mesh");
    if (out.heartbeat * 3 > out.electionTimeout)
        reader.problem(
            "heartbeat_ms", "is too long for the election timeout", "use at most a third of election_timeout_ms");
    bool self
        = std::any_of(out.members.begin(), out.members.end(), [&](const MemberAddress& it) { return it.id == out.id; });
    if (!self)
        reader.problem("members", "does not contain this host's id", "list all control hosts, this one included");
    reader.finish();
    return out;
}

} // namespace pomelowind::control
