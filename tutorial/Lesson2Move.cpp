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
    moves::MoveView view;
    view.wallMs = 3000;
    view.callsPerSecond = 500;
    view.candidateTargets = 8;
    view.candidateSlots = view.stableSlots = view.stableSlotsAtStart = 96;
    view.inForce = true;
    view.nodes = 8;
    auto event = moves::planMove(move, view);
    ASSERT_TRUE(event);
    EXPECT_EQ(event->permille, 100) << "50 calls per second are enough to detect a fault within seconds";
    move = moves::advance(move, *event, view.wallMs).next;

    // The nodes report 12 failures in 50 calls for v2 and none in 450 for v1.
    moves::EvidenceBook book("v2", "v1");
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
    book.add({ cell, stable });
    book.closeBatch();
    view.evidence = book.summary();
    ASSERT_TRUE(view.evidence.isBad);

    event = moves::planMove(move, view);
    ASSERT_TRUE(event);
    EXPECT_EQ(event->kind, wire::MoveEventKind::BAD);
    move = moves::advance(move, *event, view.wallMs).next;
    EXPECT_EQ(move.permille, 0);
    EXPECT_STREQ(moves::moveStateName(move.state), "taken back");
}
