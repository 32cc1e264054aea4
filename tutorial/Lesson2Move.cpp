// Lesson 2: a move raises the traffic share of a candidate version in steps, and is rolled back when the evidence shows
// that the version is bad.

#include "pomelowind/moves/MoveMachine.h"
#include "pomelowind/moves/MovePlanner.h"

#include <gtest/gtest.h>

using namespace pomelowind;

TEST(Lesson2, EvidenceRollsBackAMove)
{
    wire::MoveRecord move;
    move.id = "m1";
    move.fromVersion = "v1";
    move.toVersion = "v2";
    move.deadlineMs = 60000;
    move.watchMs = 5000;

    // The leader's view: both versions have targets, 500 calls per second, no evidence yet.
    moves::MovePlannerInput input;
    input.wallMs = 3000;
    input.callsPerSecond = 500;
    input.candidateTargets = 8;
    input.candidateSlots = input.stableSlots = input.maxStableSlotsSeen = 96;
    input.isShareApplied = true;
    input.reachableNodes = 8;
    auto event = moves::planMove(move, input);
    ASSERT_TRUE(event);
    EXPECT_EQ(event->permille, 100) << "50 calls per second are enough to detect a fault within seconds";
    move = moves::applyMoveEvent(move, *event, input.wallMs).next;

    // The nodes report 12 failures in 50 calls for v2 and none in 450 for v1.
    moves::EvidenceAggregator aggregator("v2", "v1");
    wire::EvidenceCell cell;
    cell.dimension = wire::EvidenceDimension::ROUTE;
    cell.value = "/lookup";
    cell.version = "v2";
    cell.calls = 50;
    cell.failures = 12;
    wire::EvidenceCell stable = cell;
    stable.version = "v1";
    stable.calls = 450;
    stable.failures = 0;
    aggregator.add({ cell, stable });
    aggregator.closeBatch();
    input.evidence = aggregator.summary();
    ASSERT_TRUE(input.evidence.isBad);

    event = moves::planMove(move, input);
    ASSERT_TRUE(event);
    EXPECT_EQ(event->kind, wire::MoveEventKind::BAD);
    move = moves::applyMoveEvent(move, *event, input.wallMs).next;
    EXPECT_EQ(move.permille, 0);
    EXPECT_STREQ(moves::moveStateName(move.state), "taken back");
}
