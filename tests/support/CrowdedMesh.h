// One control host, nodes with lowered limits, and a target with long answers, for tests with crowds of callers.
#pragma once

#include "tests/support/CallerCrowd.h"

#include <gtest/gtest.h>

namespace pomelowind::tests {

class CrowdedMesh : public testing::Test {
protected:
    // The crowds and bounds are fixed: a change that needs other ones weakens the tests.
    static constexpr int CALLERS = 60;
    static constexpr size_t ANSWER_BYTES = 4 * 1024 * 1024;
    static constexpr double MAX_MEMORY_MB = 128;
    static constexpr size_t DESCRIPTORS = 160; // limit of each process
    static constexpr int SILENT_CALLERS = 300;
    static constexpr int MAX_DESCRIPTORS = 150; // some are left for the target, peers and the operator

    // Starts the processes; the target is at the last node.
    void start(int nodes)
    {
        bench::MeshOptions options;
        options.controlHosts = 1;
        options.dataCentres = 1;
        options.nodes = nodes;
        options.slots = 8;
        options.extraNodeSettings = "body_memory_bytes: 16777216\ncaller_timeout_ms: 60000\n";
        mesh.emplace(options);
        {
            LoweredDescriptorLimit limit(DESCRIPTORS);
            mesh->startAll();
            mesh->startTarget(
                { "target", "s", "v1", nodes - 1, "answer_bytes: " + std::to_string(ANSWER_BYTES) + "\n" });
        }
        mesh->createServices({ "s" });
        ASSERT_TRUE(isAnswered(ordinary()));
    }

    static http::HttpRequest ordinary() { return { "GET", "/other", { { "Host", "a.example" } }, "", nullptr }; }
    static std::string longRequest() { return "GET /get HTTP/1.1\r\nHost: a.example\r\n\r\n"; }

    // Returns whether a caller of node 0 that asks again when it is refused gets an answer.
    bool isAnswered(const http::HttpRequest& request)
    {
        return mesh->waitFor([&] { return mesh->send(mesh->address("caller", 0), request).status == 200; });
    }

    void expectWithinBounds(const std::string& process)
    {
        SCOPED_TRACE(process);
        int pid = mesh->pid(process);
        EXPECT_FALSE(mesh->waitForEnd(process, base::Millis(0))) << "the process has ended";
        EXPECT_LT(peakMemoryMb(pid), MAX_MEMORY_MB);
        EXPECT_LE(openDescriptors(pid), MAX_DESCRIPTORS);
    }

    std::optional<bench::Mesh> mesh;
};

} // namespace pomelowind::tests
