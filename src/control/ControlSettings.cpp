#include "pomelowind/control/ControlSettings.h"

#include <algorithm>

namespace pomelowind::control {

namespace {

    using base::Millis;

    constexpr size_t MIN_KEY_BYTES = 16;

}

ControlSettings readControlSettings(const std::string& file)
{
    auto reader = base::SettingsReader::fromFile(file);
    ControlSettings out;
    out.mesh = reader.text("mesh");
    out.meshKey = reader.text("mesh_key");
    out.usesDiscovery = reader.has("control_seeds");
    out.dataCentre = reader.text("data_centre");
    out.meshAddress = reader.address("mesh_address");
    out.id = out.usesDiscovery ? out.meshAddress.text() : reader.text("id");
    out.firstStart = reader.flag("first_start", false);
    out.toleratedLosses = reader.integer("tolerated_losses", out.toleratedLosses, 0, 5);
    out.retainedEntries = reader.integer("kept_entries", out.retainedEntries, 1, 100000);
    out.operatorAddress = reader.address("operator_address");
    out.metricsAddress = reader.address("metrics_address");
    out.dataFolder = reader.text("data_folder");
    out.logLevel = reader.text("log_level", "info");
    out.electionTimeout = reader.millis("election_timeout_ms", out.electionTimeout, Millis(100), Millis(10000));
    out.heartbeatInterval = reader.millis("heartbeat_ms", out.heartbeatInterval, Millis(10), Millis(2000));
    out.claims = reader.flag("claims", true);
    out.claimLead = reader.millis("claim_lead_ms", out.claimLead, Millis(5000), Millis(120000));
    out.snapshotEvery = reader.integer("snapshot_every", out.snapshotEvery, 10, 1000000);
    if (reader.has("source_address"))
        out.sourceAddress = reader.address("source_address");
    out.sourcePeriod = reader.millis("source_period_ms", out.sourcePeriod, Millis(50), Millis(3600000));
    if (out.usesDiscovery) {
        for (const auto& it : base::seedAddresses(reader, "control_seeds", out.meshAddress.port))
            out.members.push_back({ it.text(), it });
    } else {
        for (auto& it : reader.mappings("members")) {
            out.members.push_back({ it.text("id"), it.address("address") });
            it.checkUnknownKeys();
        }
    }
    out.dataCentres = reader.optionalNames("data_centres");
    if (std::find(out.dataCentres.begin(), out.dataCentres.end(), "") != out.dataCentres.end())
        reader.recordProblem("data_centres", "holds an empty name", "name each data centre");
    out.protocol = reader.text("protocol", out.protocol);
    if (out.protocol != "product" && out.protocol != "platform")
        reader.recordProblem("protocol", "is neither product nor platform", "use one of the two");
    out.exposureShare = reader.real("exposure_share", out.exposureShare, 0.001, 1);
    out.quota = callers::readQuotaBounds(reader);
    // The platform authenticates its operators itself; the product's own API authenticates and authorizes them by role.
    if (out.protocol == "product")
        out.roles = operators::Roles::fromSettings(reader);
    if (out.meshKey.size() < MIN_KEY_BYTES)
        reader.recordProblem(
            "mesh_key", "is shorter than 16 characters", "use a random key, the same on all processes of the mesh");
    if (out.heartbeatInterval * 3 > out.electionTimeout)
        reader.recordProblem(
            "heartbeat_ms", "is too long for the election timeout", "use at most a third of election_timeout_ms");
    bool containsSelf
        = std::any_of(out.members.begin(), out.members.end(), [&](const MemberAddress& it) { return it.id == out.id; });
    if (!containsSelf && !out.usesDiscovery)
        reader.recordProblem("members", "does not contain this host's id", "list all control hosts, this one included");
    reader.finish();
    return out;
}

} // namespace pomelowind::control
