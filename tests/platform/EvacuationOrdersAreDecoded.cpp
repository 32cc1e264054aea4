// Guards against evacuation orders of the platform that are misread, or whose results are answered with another status
// than the platform expects, and against a template of settings that names no data centres.

#include "platform/OperatorHandler.h"
#include "pomelowind/base/Settings.h"
#include "pomelowind/config/ConfigMachine.h"
#include "tests/support/RecordedBackend.h"

#include <filesystem>
#include <fstream>
#include <gtest/gtest.h>
#include <sstream>

using namespace pomelowind;
using wire::CommandKind;
using wire::ResultCode;

namespace {

class EvacuationOrdersAreDecoded : public testing::Test {
protected:
    http::HttpResponse send(const std::string& method, const std::string& path)
    {
        http::HttpResponse out;
        auto handler = platform::makeOperatorHandler(backend, 0.1);
        handler->handle({ method, path, {}, "" }, std::make_shared<tests::RecordedReply>(out));
        return out;
    }

    tests::RecordedBackend backend;
};

// Returns the part of the platform's template that names the data centres, with `zones` filled in.
std::string renderedLine(const std::string& zones)
{
    auto source = std::filesystem::read_symlink("/proc/self/exe").parent_path() / "../../platform/control.yaml";
    std::ifstream in(source);
    for (std::string line; std::getline(in, line);) {
        constexpr std::string_view PLACEHOLDER = "{{zones|json}}";
        if (auto at = line.find(PLACEHOLDER); at != std::string::npos)
            return line.replace(at, PLACEHOLDER.size(), zones);
    }
    return {};
}

}

TEST_F(EvacuationOrdersAreDecoded, PathsNameOrderAndDataCentre)
{
    EXPECT_EQ(send("POST", "/v1/Evacuations.Start/zone-b").status, 200);
    EXPECT_EQ(send("POST", "/v1/Evacuations.Finish/zone-b").status, 200);
    ASSERT_EQ(backend.commands.size(), 2u);
    EXPECT_EQ(backend.commands[0].kind, CommandKind::START_EVACUATION);
    EXPECT_EQ(backend.commands[1].kind, CommandKind::FINISH_EVACUATION);
    for (const auto& it : backend.commands) {
        EXPECT_EQ(it.name, "zone-b");
        EXPECT_EQ(it.baseVersion, config::ANY_BASE_VERSION);
        EXPECT_EQ(it.requestId, "") << "a remembered result would answer a later order with the same content";
    }
}

TEST_F(EvacuationOrdersAreDecoded, OtherMethodsAndPathsOrderNothing)
{
    EXPECT_EQ(send("GET", "/v1/Evacuations.Start/zone-b").status, 404);
    EXPECT_EQ(send("POST", "/v1/Evacuations.Stop/zone-b").status, 404);
    EXPECT_TRUE(backend.commands.empty());
}

TEST_F(EvacuationOrdersAreDecoded, ResultsHaveTheStatusOfThePlatform)
{
    const std::map<ResultCode::type, int> statuses { { ResultCode::ACCEPTED, 200 }, { ResultCode::UNCHANGED, 200 },
        { ResultCode::NOT_FOUND, 404 }, { ResultCode::INVALID, 400 }, { ResultCode::UNAVAILABLE, 503 },
        { ResultCode::BUSY, 503 } };
    for (const auto& [code, status] : statuses) {
        backend.result.code = code;
        backend.result.message = "not done";
        backend.result.remedy = "name one of: a, b";
        auto response = send("POST", "/v1/Evacuations.Start/zone-b");
        EXPECT_EQ(response.status, status);
        EXPECT_EQ(response.body.find("name one of: a, b") != std::string::npos, status != 200) << response.body;
    }
}

TEST(EvacuatedDataCentresAreConfigured, TemplateNamesThem)
{
    using Names = std::vector<std::string>;
    for (const auto& zones : { R"({"zone-a":{"latency_ms":2},"zone-b":{}})", R"(["zone-a","zone-b"])" }) {
        auto reader = base::SettingsReader::fromText(renderedLine(zones), "control.yaml");
        EXPECT_EQ(reader.optionalNames("data_centres"), (Names { "zone-a", "zone-b" })) << zones;
        reader.finish();
    }
}
