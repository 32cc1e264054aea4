// Guards against evacuations that operators order without the permission of their team, and against denied orders that
// leave no audit record.

#include "pomelowind/base/Hash.h"
#include "tests/support/RecordedBackend.h"

#include <gtest/gtest.h>

using namespace pomelowind;
using wire::CommandKind;

namespace {

class EvacuationsNeedPermission : public testing::Test {
protected:
    int send(const std::string& operatorName, const std::string& method, const std::string& path)
    {
        http::HttpResponse response;
        api.handle({ method, path, { { "Authorization", "Bearer " + operatorName } },
                       R"({"request_id":"r1","base_version":-1})" },
            std::make_shared<tests::RecordedReply>(response));
        return response.status;
    }

    tests::RecordedBackend backend;
    operators::Roles roles { { { "ana", "site", base::sha256Hex("ana") }, { "ben", "desk", base::sha256Hex("ben") } },
        { { "site", { "*" }, { "evacuation/*" }, {} }, { "desk", { "*" }, { "service/*" }, { "service/*" } } } };
    operators::OperatorApi api { roles, backend };
};

}

TEST_F(EvacuationsNeedPermission, TeamWithPermissionStartsFinishesAndLists)
{
    EXPECT_EQ(send("ana", "PUT", "/v1/evacuations/east"), 200);
    EXPECT_EQ(send("ana", "DELETE", "/v1/evacuations/east"), 200);
    EXPECT_EQ(send("ana", "GET", "/v1/evacuations"), 200);
    EXPECT_EQ(backend.views, std::vector { operators::View::Evacuations });
    ASSERT_EQ(backend.commands.size(), 2u);
    EXPECT_EQ(backend.commands[0].kind, CommandKind::START_EVACUATION);
    EXPECT_EQ(backend.commands[1].kind, CommandKind::FINISH_EVACUATION);
    EXPECT_EQ(backend.commands[0].name, "east");
    EXPECT_EQ(backend.commands[0].actor, "ana");
}

TEST_F(EvacuationsNeedPermission, OtherTeamsAreDeniedOnRecord)
{
    EXPECT_EQ(send("ben", "PUT", "/v1/evacuations/east"), 403);
    ASSERT_EQ(backend.commands.size(), 1u);
    EXPECT_EQ(backend.commands[0].kind, CommandKind::DENIED);
    EXPECT_EQ(backend.commands[0].name, "evacuation/east");
}
