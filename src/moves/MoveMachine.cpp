#include "pomelowind/moves/MoveMachine.h"

#include <algorithm>
#include <boost/msm/back/state_machine.hpp>
#include <boost/msm/front/functor_row.hpp>
#include <boost/msm/front/state_machine_def.hpp>

namespace pomelowind::moves {

namespace {

    namespace msm = boost::msm;
    namespace front = boost::msm::front;
    using wire::MoveEventKind;
    using State = wire::MoveState;

    // ---- events ----
    // Puts a fresh machine into the state of a stored record.
    struct Restore {
        State::type state;
    };
    struct TimedEvent {
        wire::MoveEvent event;
        int64_t timeMs;
    };
    struct Raise : TimedEvent { };
    struct ReachedAll : TimedEvent { };
    struct Bad : TimedEvent { };
    struct AskedBack : TimedEvent { };
    struct WatchEnded : TimedEvent { };
    struct Late : TimedEvent { };
    struct Pause : TimedEvent { };
    struct Resume : TimedEvent { };

    // ---- states ----
    template <State::type S> struct RecordedState : front::state<> {
        template <class Event, class Machine> void on_entry(const Event&, Machine& machine)
        {
            machine.m_record.state = S;
        }
    };
    struct Restoring : front::state<> { };
    using Planned = RecordedState<State::PLANNED>;
    using Raising = RecordedState<State::RAISING>;
    using Paused = RecordedState<State::PAUSED>;
    using Watching = RecordedState<State::WATCHING>;
    using Done = RecordedState<State::DONE>;
    using TakenBack = RecordedState<State::TAKEN_BACK>;

    // ---- guards ----
    template <State::type S> struct IsRestoredTo {
        template <class Machine, class Source, class Target>
        bool operator()(const Restore& event, Machine&, Source&, Target&) const
        {
            return event.state == S;
        }
    };
    struct IsHigherShare {
        template <class Machine, class Source, class Target>
        bool operator()(const Raise& raise, Machine& machine, Source&, Target&) const
        {
            return raise.event.permille > machine.m_record.permille && raise.event.permille <= MAX_CANDIDATE_PERMILLE;
        }
    };
    struct IsAtMaxShare {
        template <class Machine, class Source, class Target>
        bool operator()(const ReachedAll&, Machine& machine, Source&, Target&) const
        {
            return machine.m_record.permille == MAX_CANDIDATE_PERMILLE;
        }
    };

    // ---- actions ----
    struct SetShare {
        template <class Machine, class Source, class Target>
        void operator()(const Raise& raise, Machine& machine, Source&, Target&) const
        {
            machine.m_record.permille = raise.event.permille;
            machine.m_record.stepMs = raise.timeMs;
            machine.m_record.slotsNeeded = std::max(machine.m_record.slotsNeeded, raise.event.slotsNeeded);
            machine.m_record.reason = raise.event.reason;
        }
    };
    struct RecordReached {
        template <class Machine, class Source, class Target>
        void operator()(const ReachedAll& event, Machine& machine, Source&, Target&) const
        {
            machine.m_record.reachedMs = event.timeMs;
            machine.m_record.reason = event.event.reason;
        }
    };
    struct RecordReason {
        template <class Event, class Machine, class Source, class Target>
        void operator()(const Event& event, Machine& machine, Source&, Target&) const
        {
            machine.m_record.reason = event.event.reason;
        }
    };
    struct RecordLate {
        template <class Machine, class Source, class Target>
        void operator()(const Late& event, Machine& machine, Source&, Target&) const
        {
            machine.m_record.late = true;
            machine.m_record.reason = event.event.reason;
        }
    };
    struct EndMove {
        template <class Event, class Machine, class Source, class Target>
        void operator()(const Event& event, Machine& machine, Source&, Target&) const
        {
            machine.m_record.endedMs = event.timeMs;
            machine.m_record.reason = event.event.reason;
            machine.m_record.permille = std::is_same_v<Event, WatchEnded> ? FULL_PERMILLE : 0;
        }
    };

    template <class Source, class Event, class Target, class Action = front::none, class Guard = front::none>
    using Row = front::Row<Source, Event, Target, Action, Guard>;

    struct MachineDef : front::state_machine_def<MachineDef> {
        using initial_state = Restoring;
        using no_exception_thrown = int;

        // clang-format off
        // NOLINTNEXTLINE(readability-identifier-naming): MSM asks for this name
        struct transition_table : boost::fusion::vector<
            Row<Restoring, Restore, Planned, front::none, IsRestoredTo<State::PLANNED>>,
            Row<Restoring, Restore, Raising, front::none, IsRestoredTo<State::RAISING>>,
            Row<Restoring, Restore, Paused, front::none, IsRestoredTo<State::PAUSED>>,
            Row<Restoring, Restore, Watching, front::none, IsRestoredTo<State::WATCHING>>,
            Row<Restoring, Restore, Done, front::none, IsRestoredTo<State::DONE>>,
            Row<Restoring, Restore, TakenBack, front::none, IsRestoredTo<State::TAKEN_BACK>>,
            Row<Planned, Raise, Raising, SetShare, IsHigherShare>,
            Row<Planned, Late, Planned, RecordLate>,
            Row<Planned, Bad, TakenBack, EndMove>,
            Row<Planned, AskedBack, TakenBack, EndMove>,
            Row<Raising, Raise, Raising, SetShare, IsHigherShare>,
            Row<Raising, ReachedAll, Watching, RecordReached, IsAtMaxShare>,
            Row<Raising, Late, Raising, RecordLate>,
            Row<Raising, Pause, Paused, RecordReason>,
            Row<Raising, Bad, TakenBack, EndMove>,
            Row<Raising, AskedBack, TakenBack, EndMove>,
            Row<Paused, Resume, Raising, RecordReason>,
            Row<Paused, Late, Paused, RecordLate>,
            Row<Paused, Bad, TakenBack, EndMove>,
            Row<Paused, AskedBack, TakenBack, EndMove>,
            Row<Watching, WatchEnded, Done, EndMove>,
            Row<Watching, Late, Watching, RecordLate>,
            Row<Watching, Bad, TakenBack, EndMove>,
            Row<Watching, AskedBack, TakenBack, EndMove>
        > { };
        // clang-format on

        // An event without a row for the current state is refused, not treated as an error: it may be stale or a
        // duplicate.
        template <class Machine, class Event> void no_transition(const Event&, Machine&, int) { m_refused = true; }

        wire::MoveRecord m_record;
        bool m_refused { false };
    };

    using Machine = msm::back::state_machine<MachineDef>;

    template <class Event> bool process(Machine& machine, const wire::MoveEvent& event, int64_t timeMs)
    {
        auto result = machine.process_event(Event { { event, timeMs } });
        return result == msm::back::HANDLED_TRUE && !machine.m_refused;
    }

    bool dispatch(Machine& machine, const wire::MoveEvent& event, int64_t timeMs)
    {
        switch (event.kind) {
        case MoveEventKind::RAISE:
            return process<Raise>(machine, event, timeMs);
        case MoveEventKind::REACHED_ALL:
            return process<ReachedAll>(machine, event, timeMs);
        case MoveEventKind::BAD:
            return process<Bad>(machine, event, timeMs);
        case MoveEventKind::ASKED_BACK:
            return process<AskedBack>(machine, event, timeMs);
        case MoveEventKind::WATCH_ENDED:
            return process<WatchEnded>(machine, event, timeMs);
        case MoveEventKind::LATE:
            return process<Late>(machine, event, timeMs);
        case MoveEventKind::PAUSE:
            return process<Pause>(machine, event, timeMs);
        case MoveEventKind::RESUME:
            return process<Resume>(machine, event, timeMs);
        }
        return false;
    }

}

MoveTransition applyMoveEvent(const wire::MoveRecord& record, const wire::MoveEvent& event, int64_t timeMs)
{
    if (event.step != record.step + 1)
        return { false, record, "the move is at step " + std::to_string(record.step) };
    Machine machine;
    machine.start();
    machine.m_record = record;
    machine.process_event(Restore { record.state });
    if (!dispatch(machine, event, timeMs))
        return { false, record, std::string("not possible while the move is ") + moveStateName(record.state) };
    wire::MoveRecord next = machine.m_record;
    next.step = event.step;
    return { true, next, {} };
}

wire::MoveEvent makeNextEvent(const wire::MoveRecord& record, MoveEventKind::type kind, const std::string& reason)
{
    wire::MoveEvent event;
    event.moveId = record.id;
    event.step = record.step + 1;
    event.kind = kind;
    event.reason = reason;
    return event;
}

bool isFinished(const wire::MoveRecord& record)
{
    return record.state == State::DONE || record.state == State::TAKEN_BACK;
}

const char* moveStateName(State::type state)
{
    switch (state) {
    case State::PLANNED:
        return "planned";
    case State::RAISING:
        return "raising";
    case State::PAUSED:
        return "paused";
    case State::WATCHING:
        return "watching";
    case State::DONE:
        return "done";
    case State::TAKEN_BACK:
        return "taken back";
    }
    return "unknown";
}

} // namespace pomelowind::moves
