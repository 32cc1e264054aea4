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
    struct Timed {
        wire::MoveEvent event;
        int64_t timeMs;
    };
    struct Raise : Timed { };
    struct ReachedAll : Timed { };
    struct Bad : Timed { };
    struct AskedBack : Timed { };
    struct WatchEnded : Timed { };
    struct Late : Timed { };
    struct Pause : Timed { };
    struct Resume : Timed { };

    // ---- states ----
    template <State::type S> struct Phase : front::state<> {
        template <class Event, class Machine> void on_entry(const Event&, Machine& machine)
        {
            machine.m_record.state = S;
        }
    };
    struct Restoring : front::state<> { };
    using Planned = Phase<State::PLANNED>;
    using Raising = Phase<State::RAISING>;
    using Paused = Phase<State::PAUSED>;
    using Watching = Phase<State::WATCHING>;
    using Done = Phase<State::DONE>;
    using TakenBack = Phase<State::TAKEN_BACK>;

    // ---- guards ----
    template <State::type S> struct Was {
        template <class Machine, class Source, class Target>
        bool operator()(const Restore& event, Machine&, Source&, Target&) const
        {
            return event.state == S;
        }
    };
    struct IsHigher {
        template <class Machine, class Source, class Target>
        bool operator()(const Raise& raise, Machine& machine, Source&, Target&) const
        {
            return raise.event.permille > machine.m_record.permille && raise.event.permille <= TOP_PERMILLE;
        }
    };
    struct IsAtTop {
        template <class Machine, class Source, class Target>
        bool operator()(const ReachedAll&, Machine& machine, Source&, Target&) const
        {
            return machine.m_record.permille == TOP_PERMILLE;
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
    struct NoteReached {
        template <class Machine, class Source, class Target>
        void operator()(const ReachedAll& event, Machine& machine, Source&, Target&) const
        {
            machine.m_record.reachedMs = event.timeMs;
            machine.m_record.reason = event.event.reason;
        }
    };
    struct NoteReason {
        template <class Event, class Machine, class Source, class Target>
        void operator()(const Event& event, Machine& machine, Source&, Target&) const
        {
            machine.m_record.reason = event.event.reason;
        }
    };
    struct NoteLate {
        template <class Machine, class Source, class Target>
        void operator()(const Late& event, Machine& machine, Source&, Target&) const
        {
            machine.m_record.late = true;
            machine.m_record.reason = event.event.reason;
        }
    };
    struct End {
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
            Row<Restoring, Restore, Planned, front::none, Was<State::PLANNED>>,
            Row<Restoring, Restore, Raising, front::none, Was<State::RAISING>>,
            Row<Restoring, Restore, Paused, front::none, Was<State::PAUSED>>,
            Row<Restoring, Restore, Watching, front::none, Was<State::WATCHING>>,
            Row<Restoring, Restore, Done, front::none, Was<State::DONE>>,
            Row<Restoring, Restore, TakenBack, front::none, Was<State::TAKEN_BACK>>,
            Row<Planned, Raise, Raising, SetShare, IsHigher>,
            Row<Planned, Late, Planned, NoteLate>,
            Row<Planned, Bad, TakenBack, End>,
            Row<Planned, AskedBack, TakenBack, End>,
            Row<Raising, Raise, Raising, SetShare, IsHigher>,
            Row<Raising, ReachedAll, Watching, NoteReached, IsAtTop>,
            Row<Raising, Late, Raising, NoteLate>,
            Row<Raising, Pause, Paused, NoteReason>,
            Row<Raising, Bad, TakenBack, End>,
            Row<Raising, AskedBack, TakenBack, End>,
            Row<Paused, Resume, Raising, NoteReason>,
            Row<Paused, Late, Paused, NoteLate>,
            Row<Paused, Bad, TakenBack, End>,
            Row<Paused, AskedBack, TakenBack, End>,
            Row<Watching, WatchEnded, Done, End>,
            Row<Watching, Late, Watching, NoteLate>,
            Row<Watching, Bad, TakenBack, End>,
            Row<Watching, AskedBack, TakenBack, End>
        > { };
        // clang-format on

        // An event without a row for the current state is refused, not treated as an error: it may be stale or a
        // duplicate.
        template <class Machine, class Event> void no_transition(const Event&, Machine&, int) { m_refused = true; }

        wire::MoveRecord m_record;
        bool m_refused { false };
    };

    using Machine = msm::back::state_machine<MachineDef>;

    template <class Event> bool feed(Machine& machine, const wire::MoveEvent& event, int64_t timeMs)
    {
        auto result = machine.process_event(Event { { event, timeMs } });
        return result == msm::back::HANDLED_TRUE && !machine.m_refused;
    }

    bool dispatch(Machine& machine, const wire::MoveEvent& event, int64_t timeMs)
    {
        switch (event.kind) {
        case MoveEventKind::RAISE:
            return feed<Raise>(machine, event, timeMs);
        case MoveEventKind::REACHED_ALL:
            return feed<ReachedAll>(machine, event, timeMs);
        case MoveEventKind::BAD:
            return feed<Bad>(machine, event, timeMs);
        case MoveEventKind::ASKED_BACK:
            return feed<AskedBack>(machine, event, timeMs);
        case MoveEventKind::WATCH_ENDED:
            return feed<WatchEnded>(machine, event, timeMs);
        case MoveEventKind::LATE:
            return feed<Late>(machine, event, timeMs);
        case MoveEventKind::PAUSE:
            return feed<Pause>(machine, event, timeMs);
        case MoveEventKind::RESUME:
            return feed<Resume>(machine, event, timeMs);
        }
        return false;
    }

}

MoveTransition advance(const wire::MoveRecord& record, const wire::MoveEvent& event, int64_t timeMs)
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

wire::MoveEvent nextEvent(const wire::MoveRecord& record, MoveEventKind::type kind, const std::string& reason)
{
    wire::MoveEvent event;
    event.moveId = record.id;
    event.step = record.step + 1;
    event.kind = kind;
    event.reason = reason;
    return event;
}

bool isOver(const wire::MoveRecord& record) { return record.state == State::DONE || record.state == State::TAKEN_BACK; }

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
