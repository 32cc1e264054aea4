#include "pomelowind/config/ConfigSource.h"

#include "pomelowind/base/Errors.h"
#include "pomelowind/base/Json.h"
#include "pomelowind/base/Log.h"
#include "pomelowind/http/HttpClient.h"

namespace pomelowind::config {

namespace {

    using nlohmann::json;

    constexpr base::Millis POLL_TIMEOUT(3000);
    constexpr char SOURCE_ACTOR[] = "source";

    constexpr int64_t MAX_SEQUENCE = (int64_t(1) << 53) - 1;

    // Returns the update, or nothing, after logging it, when the entry is malformed.
    std::optional<SourceUpdate> parseSourceUpdate(const json& it)
    {
        try {
            SourceUpdate out;
            const auto& sequence = it.at("sequence");
            bool isInRange = sequence.is_number_unsigned() && sequence.get<uint64_t>() >= 1
                && sequence.get<uint64_t>() <= static_cast<uint64_t>(MAX_SEQUENCE);
            if (!isInRange)
                throw base::UserError(base::ErrorKind::InvalidInput, "the sequence of an update is out of range",
                    "number the updates from 1");
            out.sequence = sequence.get<int64_t>();
            out.name = it.at("name").get<std::string>();
            if (it.contains("body")) {
                out.body = it.at("body").get<std::string>();
            } else {
                out.templateName = it.at("template").get<std::string>();
                out.parameters = it.at("parameters").get<std::map<std::string, std::string>>();
            }
            return out;
        } catch (const std::exception& e) {
            base::logRateLimited("source.bad_update", { { "error", e.what() } });
            return std::nullopt;
        }
    }

    class HttpSource final : public ConfigSource {
    public:
        HttpSource(boost::asio::io_context& io, const base::Address& address)
            : m_client(http::makeHttpClient(io, address, { 1 }))
            , m_host(address.text())
        {
        }

        void poll(int64_t after, Done done) override
        {
            http::HttpRequest request { "GET", "/updates?after=" + std::to_string(after), { { "Host", m_host } }, "" };
            m_client->request(
                std::move(request), POLL_TIMEOUT, [done = std::move(done)](const http::ExchangeResult& result) {
                    bool ok = result.end == http::ExchangeEnd::Answered && result.response.status == 200;
                    done(ok ? parseSourceUpdates(result.response.body) : std::nullopt);
                });
        }

    private:
        std::shared_ptr<http::HttpClient> m_client;
        std::string m_host;
    };

}

std::optional<std::vector<SourceUpdate>> parseSourceUpdates(const std::string& text)
{
    json list;
    try {
        list = base::parseJson(text);
    } catch (const base::UserError& e) {
        base::logRateLimited("source.unreadable", { { "error", e.what() } });
        return std::nullopt;
    }
    if (!list.is_array())
        return std::nullopt;
    std::vector<SourceUpdate> out;
    for (const auto& it : list) {
        if (auto update = parseSourceUpdate(it))
            out.push_back(std::move(*update));
    }
    return out;
}

wire::Command toCommand(const SourceUpdate& update)
{
    wire::Command command;
    command.kind = wire::CommandKind::SOURCE_UPDATE;
    command.actor = SOURCE_ACTOR;
    command.name = update.name;
    command.body = update.body;
    command.templateName = update.templateName;
    command.parameters = update.parameters;
    command.sourceSequence = update.sequence;
    return command;
}

std::unique_ptr<ConfigSource> makeHttpSource(boost::asio::io_context& io, const base::Address& address)
{
    return std::make_unique<HttpSource>(io, address);
}

} // namespace pomelowind::config
