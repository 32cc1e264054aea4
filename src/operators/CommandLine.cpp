#include "pomelowind/operators/CommandLine.h"

#include "pomelowind/base/Errors.h"
#include "pomelowind/base/Hash.h"
#include "pomelowind/base/Time.h"
#include "pomelowind/http/HttpClient.h"

#include <fstream>
#include <iostream>
#include <nlohmann/json.hpp>
#include <sstream>
#include <thread>

namespace pomelowind::operators {

namespace {

    using base::ErrorKind;
    using base::UserError;
    using nlohmann::json;

    constexpr int EXIT_ACCEPTED = 0;
    constexpr int EXIT_INVALID = 2;
    constexpr int EXIT_CONFLICT = 3;
    constexpr int EXIT_NOT_FOUND = 4;
    constexpr int EXIT_DENIED = 5;
    constexpr int EXIT_UNAVAILABLE = 6;
    constexpr auto ATTEMPT_TIMEOUT = base::Millis(6000);
    constexpr auto RETRY_INTERVAL = std::chrono::milliseconds(200);

    struct Answer {
        int status { 0 }; // HTTP status; 0 when no host answered
        json body;
    };

    // Sends each request to the control hosts in turn, until one answers with a status other than 503 or the timeout
    // expires.
    class ControlClient {
    public:
        explicit ControlClient(const CommandLineOptions& options)
            : m_options(options)
        {
            if (options.controlAddresses.empty())
                throw UserError(ErrorKind::InvalidInput, "no control host given", "add --control=IP:PORT,...");
        }

        Answer send(const std::string& method, const std::string& path, const json& body)
        {
            auto deadline = std::chrono::steady_clock::now() + m_options.timeout;
            Answer answer;
            do {
                for (const auto& it : m_options.controlAddresses) {
                    answer = sendTo(it, method, path, body);
                    if (answer.status && answer.status != 503)
                        return answer;
                }
                std::this_thread::sleep_for(RETRY_INTERVAL);
            } while (std::chrono::steady_clock::now() < deadline);
            return answer;
        }

    private:
        Answer sendTo(
            const base::Address& address, const std::string& method, const std::string& path, const json& body)
        {
            boost::asio::io_context io;
            auto client = http::makeHttpClient(io, address, { 1 });
            http::HttpRequest request { method, path,
                { { "Host", address.text() }, { "Authorization", "Bearer " + m_options.token } },
                body.is_null() ? "" : body.dump() };
            Answer out;
            client->request(std::move(request), ATTEMPT_TIMEOUT, [&](const http::ExchangeResult& result) {
                if (result.end == http::ExchangeEnd::Answered) {
                    out.status = result.response.status;
                    out.body = json::parse(result.response.body, nullptr, false);
                }
                client->close();
            });
            io.run();
            return out;
        }

        const CommandLineOptions& m_options;
    };

    int exitCodeOf(int status)
    {
        switch (status) {
        case 200:
        case 202:
            return EXIT_ACCEPTED;
        case 409:
            return EXIT_CONFLICT;
        case 404:
            return EXIT_NOT_FOUND;
        case 401:
        case 403:
            return EXIT_DENIED;
        case 0:
        case 429:
        case 503:
            return EXIT_UNAVAILABLE;
        default:
            return EXIT_INVALID;
        }
    }

    std::string valueText(const json& value) { return value.is_string() ? value.get<std::string>() : value.dump(); }

    // Prints the fields as key=value pairs on one line; keys of nested objects are joined with dots.
    void printFields(const json& object, const std::string& prefix, std::ostream& out)
    {
        for (const auto& [key, value] : object.items()) {
            if (value.is_object() && !value.empty())
                printFields(value, prefix + key + ".", out);
            else
                out << prefix << key << '=' << valueText(value) << ' ';
        }
    }

    void printText(const json& body)
    {
        if (!body.is_array()) {
            printFields(body, "", std::cout);
            std::cout << std::endl;
            return;
        }
        for (const auto& it : body)
            printText(it);
    }

    int printAnswer(const CommandLineOptions& options, const Answer& answer)
    {
        if (!answer.status) {
            std::cerr << "no control host answered; remedy: check --control and try again with the same --request_id"
                      << std::endl;
            return EXIT_UNAVAILABLE;
        }
        if (options.printsJson)
            std::cout << answer.body.dump() << std::endl;
        else
            printText(answer.body);
        return exitCodeOf(answer.status);
    }

    std::string wordAt(const CommandLineOptions& options, size_t i, const char* description)
    {
        if (i >= options.words.size())
            throw UserError(
                ErrorKind::InvalidInput, std::string(description) + " is missing", "see pomelowindctl --help");
        return options.words[i];
    }

    std::string requireFlag(const std::string& value, const char* flag)
    {
        if (value.empty())
            throw UserError(
                ErrorKind::InvalidInput, std::string("--") + flag + " is missing", "see pomelowindctl --help");
        return value;
    }

    std::string readFile(const std::string& file)
    {
        std::ifstream in(file);
        if (!in)
            throw UserError(ErrorKind::InvalidInput, "file '" + file + "' cannot be read", "check --file");
        std::ostringstream out;
        out << in.rdbuf();
        return out.str();
    }

    json parseParameters(const std::vector<std::string>& pairs)
    {
        json out = json::object();
        for (const auto& it : pairs) {
            auto equals = it.find('=');
            if (equals == std::string::npos)
                throw UserError(
                    ErrorKind::InvalidInput, "'" + it + "' is not NAME=VALUE", "write --param=NAME=VALUE,...");
            out[it.substr(0, equals)] = it.substr(equals + 1);
        }
        return out;
    }

    // Returns the base version for a submission on an item: --base_version, else the item's current version, else 0.
    int64_t readBaseVersion(ControlClient& client, const CommandLineOptions& options, const std::string& collection,
        const std::string& name)
    {
        if (options.baseVersion >= 0)
            return options.baseVersion;
        auto answer = client.send("GET", "/v1/" + collection + "/" + name, nullptr);
        return answer.status == 200 ? answer.body.value("base_version", int64_t { 0 }) : 0;
    }

    int submit(const CommandLineOptions& options, ControlClient& client, const std::string& method,
        const std::string& path, json body, int64_t baseVersion)
    {
        std::string id = options.requestId.empty() ? base::makeUuidV7(base::SystemClock().wallMs()) : options.requestId;
        body["request_id"] = id;
        body["base_version"] = baseVersion;
        auto answer = client.send(method, path, body);
        if (!answer.status)
            std::cerr << "request_id=" << id << std::endl;
        return printAnswer(options, answer);
    }

    int runResourceCommand(
        const CommandLineOptions& options, ControlClient& client, const std::string& kind, const std::string& action)
    {
        std::string collection = kind + "s";
        if (action == "list")
            return printAnswer(options, client.send("GET", "/v1/" + collection, nullptr));
        std::string name = wordAt(options, 2, "the name");
        std::string path = "/v1/" + collection + "/" + name;
        if (action == "show")
            return printAnswer(options, client.send("GET", path, nullptr));
        json body = json::object();
        if (action == "remove" && kind != "template")
            return submit(options, client, "DELETE", path, body, readBaseVersion(client, options, collection, name));
        if (kind == "service" && action == "set") {
            body["version"] = requireFlag(options.toVersion, "to_version");
        } else if (kind == "template" && action == "submit") {
            body["body"] = readFile(requireFlag(options.file, "file"));
        } else if (kind == "account" && action == "set") {
            body["template"] = requireFlag(options.templateName, "template_name");
            body["parameters"] = parseParameters(options.parameters);
        } else {
            throw UserError(
                ErrorKind::InvalidInput, "unknown command '" + kind + " " + action + "'", "see pomelowindctl --help");
        }
        return submit(options, client, "PUT", path, body, readBaseVersion(client, options, collection, name));
    }

    int runMoveCommand(const CommandLineOptions& options, ControlClient& client, const std::string& action)
    {
        if (action == "list")
            return printAnswer(options, client.send("GET", "/v1/moves", nullptr));
        std::string name = wordAt(options, 2, "the service or move");
        if (action == "status")
            return printAnswer(options, client.send("GET", "/v1/moves/" + name, nullptr));
        if (action == "take-back") {
            auto move = client.send("GET", "/v1/moves/" + name, nullptr);
            if (move.status != 200)
                return printAnswer(options, move);
            return submit(options, client, "POST", "/v1/moves/" + name + "/take-back",
                { { "service", move.body["service"] } }, 0);
        }
        if (action != "start")
            throw UserError(
                ErrorKind::InvalidInput, "unknown command 'move " + action + "'", "see pomelowindctl --help");
        int64_t now = base::SystemClock().wallMs();
        json body { { "id", options.moveId.empty() ? name + "-" + std::to_string(now) : options.moveId },
            { "service", name }, { "to_version", requireFlag(options.toVersion, "to_version") },
            { "deadline_ms", now + options.deadlineIn.count() }, { "watch_ms", options.watchTime.count() } };
        return submit(options, client, "POST", "/v1/moves", body, readBaseVersion(client, options, "services", name));
    }

    int runEvacuationCommand(const CommandLineOptions& options, ControlClient& client, const std::string& action)
    {
        if (action == "list")
            return printAnswer(options, client.send("GET", "/v1/evacuations", nullptr));
        if (action != "start" && action != "finish")
            throw UserError(
                ErrorKind::InvalidInput, "unknown command 'evacuate " + action + "'", "see pomelowindctl --help");
        std::string path = "/v1/evacuations/" + wordAt(options, 2, "the data centre");
        // Without --base_version (-1), the control host fills in the version that it knows.
        return submit(options, client, action == "start" ? "PUT" : "DELETE", path, json::object(), options.baseVersion);
    }

    std::vector<std::string> splitList(const std::string& text)
    {
        std::vector<std::string> out;
        std::stringstream in(text);
        for (std::string item; std::getline(in, item, ',');)
            out.push_back(item);
        return out;
    }

    int runMembersCommand(const CommandLineOptions& options, ControlClient& client)
    {
        if (options.words.size() < 2)
            return printAnswer(options, client.send("GET", "/v1/members", nullptr));
        json body { { "voters", splitList(wordAt(options, 2, "the list of voters")) },
            { "learners", options.words.size() > 3 ? splitList(options.words[3]) : std::vector<std::string>() } };
        return printAnswer(options, client.send("PUT", "/v1/members", body));
    }

}

int runCommandLine(const CommandLineOptions& options)
{
    ControlClient client(options);
    std::string kind = wordAt(options, 0, "the command");
    std::string limit = "?limit=" + std::to_string(options.limit);
    if (kind == "status")
        return printAnswer(options, client.send("GET", "/v1/status", nullptr));
    if (kind == "history" || kind == "audit")
        return printAnswer(options, client.send("GET", "/v1/" + kind + limit, nullptr));
    if (kind == "members")
        return runMembersCommand(options, client);
    std::string action = wordAt(options, 1, "the action");
    if (kind == "move")
        return runMoveCommand(options, client, action);
    if (kind == "evacuate")
        return runEvacuationCommand(options, client, action);
    if (kind == "service" || kind == "template" || kind == "account")
        return runResourceCommand(options, client, kind, action);
    throw UserError(ErrorKind::InvalidInput, "unknown command '" + kind + "'", "see pomelowindctl --help");
}

} // namespace pomelowind::operators
