#include "benchmarks/SoakRun.h"

#include "benchmarks/BenchOutput.h"
#include "benchmarks/Mesh.h"
#include "benchmarks/SoakCallers.h"
#include "pomelowind/base/Errors.h"
#include "pomelowind/base/Hash.h"

#include <csignal>
#include <deque>
#include <filesystem>
#include <fstream>
#include <iomanip>
#include <limits>
#include <mutex>
#include <set>
#include <sstream>

namespace pomelowind::bench {

namespace {

    using base::Millis;
    using base::Random;
    using nlohmann::json;

    constexpr auto LOOP_PERIOD = Millis(1);
    // Longer than the grace period, the timeout of a route and the timeouts of both programs together.
    constexpr auto END_LIMIT = Millis(60000);
    constexpr auto RESTART_PAUSE = Millis(300); // after an end that was not planned
    constexpr auto SETTLE_TIME = Millis(1500); // most starts take less until the process serves
    constexpr auto SETTLE_LIMIT = Millis(60000); // until restarted processes know the latest configuration
    constexpr auto CONNECT_PAUSE = Millis(20);
    // A request that reaches a process at about the time at which it closes the idle connection was not read by it. One
    // that was held for longer than this was.
    constexpr int CROSSING_MS = 500;
    constexpr uint64_t MIN_SLOW_MS
        = 150; // mean service time of the slow service; many calls take several times as long
    constexpr uint64_t MAX_SLOW_MS = 900;
    constexpr uint64_t MIN_GRACE_MS = 1000;
    constexpr uint64_t MAX_GRACE_MS = 2500;
    constexpr double BOUNDED_RATIO = 0.75; // of the runs; in the others all processes may stop at the same time
    constexpr int MAX_STOPPING_NODES = 2;
    constexpr size_t MAX_PRINTED_VIOLATIONS = 40;

    int64_t wallMs() { return base::SystemClock().wallMs(); }

    std::string signalName(int signal)
    {
        return signal == SIGHUP ? "SIGHUP" : signal == SIGTERM ? "SIGTERM" : signal == SIGINT ? "SIGINT" : "signal";
    }

    // Prints lines with the time since the start of the run. Thread-safe.
    class Journal {
    public:
        double seconds(int64_t atMs) const { return static_cast<double>(atMs - m_startedMs) / 1000; }

        void print(const std::string& text)
        {
            std::ostringstream out;
            out << std::fixed << std::setprecision(3) << std::setw(8) << seconds(wallMs()) << " s  " << text;
            std::lock_guard lock(m_mutex);
            printProgress(out.str());
        }

        void addViolation(const std::string& text)
        {
            {
                std::lock_guard lock(m_mutex);
                m_violations.push_back(text);
                if (m_violations.size() > MAX_PRINTED_VIOLATIONS)
                    return;
            }
            print("VIOLATION " + text);
        }

        void count(const std::string& name)
        {
            std::lock_guard lock(m_mutex);
            ++m_counts[name];
        }

        SoakReport report(const std::string& folder)
        {
            std::lock_guard lock(m_mutex);
            return { m_counts, m_violations, folder };
        }

    private:
        int64_t m_startedMs { wallMs() };
        std::mutex m_mutex;
        std::map<std::string, int> m_counts;
        std::vector<std::string> m_violations;
    };

    // ---- what is done to one process ----

    enum class StepKind { Signal, BreakSettings, HalveSettings, RepairSettings, AwaitEnd, Start };

    struct Step {
        StepKind kind;
        Millis delay { 0 }; // after the step before
        int signal { 0 }; // for Signal
    };

    // Draws the planned work of one process: reloads and stops, with further signals before, during and after them.
    class PlanMaker {
    public:
        PlanMaker(uint64_t seed, int64_t graceMs)
            : m_random(seed)
            , m_graceMs(static_cast<uint64_t>(graceMs))
        {
        }

        std::deque<Step> makePlan(int acts)
        {
            for (int i = 0; i < acts; ++i) {
                add(StepKind::RepairSettings, below(MAX_LEAD_MS));
                auto kind = below(10);
                if (kind < 5)
                    addReloads();
                if (kind >= 3)
                    addStop();
                if (kind >= 8)
                    addStopRightAfterStart();
            }
            return std::move(m_steps);
        }

        // The last stop of a process.
        std::deque<Step> makeLastStop()
        {
            addSignal(stopSignal(), below(MAX_LEAD_MS));
            addSignalsDuringStop();
            add(StepKind::AwaitEnd, 0);
            return std::move(m_steps);
        }

    private:
        static constexpr uint64_t MAX_LEAD_MS = 1500;
        static constexpr uint64_t MAX_BURST_GAP_MS = 8; // a reload takes some milliseconds

        uint64_t below(uint64_t n) { return m_random.uniformBelow(n); }
        int stopSignal() { return m_random.bernoulli(0.3) ? SIGINT : SIGTERM; }
        void add(StepKind kind, uint64_t delayMs)
        {
            m_steps.push_back({ kind, Millis(static_cast<int64_t>(delayMs)), 0 });
        }
        void addSignal(int signal, uint64_t delayMs)
        {
            m_steps.push_back({ StepKind::Signal, Millis(static_cast<int64_t>(delayMs)), signal });
        }

        void addReloads()
        {
            auto state = below(4);
            if (state < 2)
                add(state ? StepKind::BreakSettings : StepKind::HalveSettings, 0);
            auto n = 1 + below(5);
            for (uint64_t i = 0; i < n; ++i) {
                addSignal(SIGHUP, below(MAX_BURST_GAP_MS));
                if (i + 1 == n / 2)
                    add(StepKind::RepairSettings, 0);
            }
        }

        void addSignalsDuringStop()
        {
            constexpr int SIGNALS[] = { SIGHUP, SIGHUP, SIGTERM, SIGINT };
            auto n = below(4);
            for (uint64_t i = 0; i < n; ++i)
                addSignal(SIGNALS[below(std::size(SIGNALS))], m_random.bernoulli(0.3) ? below(5) : below(m_graceMs));
        }

        void addStart()
        {
            add(StepKind::AwaitEnd, 0);
            add(StepKind::Start, below(500));
        }

        void addStop()
        {
            addSignal(stopSignal(), m_random.bernoulli(0.5) ? below(3) : below(MAX_LEAD_MS));
            addSignalsDuringStop();
            addStart();
            auto n = below(3);
            for (uint64_t i = 0; i < n; ++i) {
                constexpr uint64_t DELAYS_MS[] = { 10, 60, 1500 }; // before, at and after the end of the start
                addSignal(SIGHUP, below(DELAYS_MS[below(std::size(DELAYS_MS))]));
            }
        }

        void addStopRightAfterStart()
        {
            addSignal(stopSignal(), below(m_random.bernoulli(0.5) ? 40 : 400));
            addStart();
        }

        Random m_random;
        uint64_t m_graceMs;
        std::deque<Step> m_steps;
    };

    // Whether the program has taken `signal` from its default action: a thread blocks it, or the process handles or
    // ignores it. A program can do so only once its main() runs. A thread that waits for a signal does not show it as
    // blocked, so all threads count.
    bool hasTakenSignal(int pid, int signal)
    {
        uint64_t masks = 0;
        std::error_code ec;
        for (std::filesystem::directory_iterator it("/proc/" + std::to_string(pid) + "/task", ec), end;
             !ec && it != end; it.increment(ec)) {
            std::ifstream in(it->path() / "status");
            std::string line;
            while (std::getline(in, line)) {
                for (const char* name : { "SigBlk:", "SigIgn:", "SigCgt:" }) {
                    if (line.rfind(name, 0) == 0)
                        masks |= std::stoull(line.substr(std::string(name).size()), nullptr, 16);
                }
            }
        }
        return masks >> (signal - 1) & 1;
    }

    // Bounds how many processes of a kind are stopped, or have just started, at the same time. Thread safety: confined
    // to the main thread.
    class StopBound {
    public:
        explicit StopBound(int limit)
            : m_limit(limit)
        {
        }

        bool tryTake() { return m_taken < m_limit && ++m_taken; }
        void giveBack() { --m_taken; }
        void lift() { m_limit = std::numeric_limits<int>::max(); }

    private:
        int m_limit;
        int m_taken { 0 };
    };

    // One control host or node, with the work that is left to do on it. Thread safety: confined to the main thread.
    class SoakProcess {
    public:
        SoakProcess(Mesh& mesh, Journal& journal, StopBound& stops, std::string name, std::function<void()> start)
            : m_mesh(mesh)
            , m_journal(journal)
            , m_stops(stops)
            , m_name(std::move(name))
            , m_start(std::move(start))
            , m_lastStepMs(wallMs())
        {
        }

        void setPlan(std::deque<Step> steps)
        {
            m_steps = std::move(steps);
            m_lastStepMs = wallMs();
        }

        // Remembers the settings file of the running process, which broken ones are made from.
        void readSettings()
        {
            std::ifstream in(settingsFile());
            m_settings.assign(std::istreambuf_iterator<char>(in), {});
        }

        // Also waits until a restarted process has settled, so that an end right after its start is noticed.
        bool isDone() const { return m_steps.empty() && wallMs() >= m_settledMs; }

        // Does what is due, and notices the end of the process.
        void advance()
        {
            noticeEnd();
            if (m_holdsStop && !m_isStopAsked && wallMs() >= m_settledMs) {
                m_holdsStop = false;
                m_stops.giveBack();
            }
            while (!m_steps.empty() && wallMs() >= m_lastStepMs + m_steps.front().delay.count()) {
                auto step = m_steps.front();
                if (step.kind == StepKind::AwaitEnd && m_mesh.isRunning(m_name)) {
                    if (wallMs() > m_stopAskedMs + END_LIMIT.count())
                        endByForce();
                    return;
                }
                bool isStop = step.kind == StepKind::Signal && step.signal != SIGHUP;
                if (isStop && !m_holdsStop && !(m_holdsStop = m_stops.tryTake()))
                    return;
                m_steps.pop_front();
                run(step);
                m_lastStepMs = wallMs();
            }
        }

    private:
        std::string settingsFile() const { return m_mesh.folder() + "/" + m_name + ".yaml"; }

        void run(const Step& step)
        {
            switch (step.kind) {
            case StepKind::Signal:
                return sendSignal(step.signal);
            case StepKind::BreakSettings:
                return writeSettings("no_such_setting: 1\n" + m_settings.substr(0, m_settings.size() / 3), "invalid");
            case StepKind::HalveSettings:
                return writeSettings(m_settings.substr(0, m_settings.size() / 2), "half-written");
            case StepKind::RepairSettings:
                if (m_settingsBroken)
                    writeSettings(m_settings, "complete again");
                m_settingsBroken = false;
                return;
            case StepKind::AwaitEnd:
                return;
            case StepKind::Start:
                return start();
            }
        }

        // A process that finds a broken file at its start ends with an error, as it should.
        bool hasReadSettings() const
        {
            std::ifstream in(m_mesh.folder() + "/" + m_name + ".log");
            std::string line;
            int n = 0;
            while (std::getline(in, line))
                n += line.find(" event=node.started ") != std::string::npos
                        || line.find(" event=control.started ") != std::string::npos
                    ? 1
                    : 0;
            return n > m_starts;
        }

        void writeSettings(const std::string& text, const std::string& state)
        {
            if (!m_mesh.isRunning(m_name) || !hasReadSettings())
                return;
            m_settingsBroken = true;
            std::ofstream(settingsFile()) << text;
            m_journal.print(m_name + ": settings file " + state);
        }

        void start()
        {
            if (m_mesh.isRunning(m_name))
                return;
            m_start();
            m_settingsBroken = false;
            m_isStopAsked = false;
            m_settledMs = wallMs() + SETTLE_TIME.count();
            m_signalsBeforeMain.clear();
            ++m_starts;
            m_journal.count("starts");
            m_journal.print(m_name + ": started as process " + std::to_string(m_mesh.pid(m_name)));
        }

        void sendSignal(int signal)
        {
            if (!m_mesh.isRunning(m_name))
                return;
            bool isTaken = hasTakenSignal(m_mesh.pid(m_name), signal);
            if (!isTaken)
                m_signalsBeforeMain.insert(signal);
            if (signal != SIGHUP && !m_isStopAsked) {
                m_isStopAsked = true;
                m_stopAskedMs = wallMs();
            }
            m_mesh.sendSignal(m_name, signal);
            m_journal.count(signalName(signal));
            m_journal.print(m_name + ": " + signalName(signal) + (isTaken ? "" : " before the program handles it"));
        }

        void noticeEnd()
        {
            if (!m_mesh.isRunning(m_name))
                return;
            auto end = m_mesh.waitForEnd(m_name, Millis(0));
            if (!end)
                return;
            std::ostringstream text;
            text << m_name << " " << *end;
            m_journal.print(text.str());
            if (m_signalsBeforeMain.count(end->signal))
                m_journal.count("ended before main");
            else if (!m_isStopAsked)
                m_journal.addViolation(text.str() + " without SIGTERM or SIGINT");
            else if (*end != ProcessEnd {})
                m_journal.addViolation(text.str() + " instead of exit code 0");
            if (!m_isStopAsked)
                m_steps.push_front({ StepKind::Start, RESTART_PAUSE, 0 });
            m_lastStepMs = wallMs();
        }

        void endByForce()
        {
            m_journal.addViolation(m_name + " still runs " + std::to_string(END_LIMIT.count()) + " ms after SIGTERM");
            m_mesh.kill(m_name);
        }

        Mesh& m_mesh;
        Journal& m_journal;
        StopBound& m_stops;
        std::string m_name;
        std::function<void()> m_start;
        std::deque<Step> m_steps;
        std::string m_settings;
        bool m_settingsBroken { false };
        int m_starts { 0 }; // after the first
        bool m_isStopAsked { false };
        std::set<int> m_signalsBeforeMain; // those that were sent before the program handled them
        int64_t m_stopAskedMs { 0 };
        bool m_holdsStop { false };
        int64_t m_settledMs { 0 }; // when a restarted process may count as available
        int64_t m_lastStepMs;
    };

    // ---- the operator ----

    // A thread that submits one change after the other, each based on the one before, to the control hosts in turn.
    class SoakOperator {
    public:
        SoakOperator(std::vector<std::pair<std::string, base::Address>> hosts, int64_t baseVersion, uint64_t seed,
            Journal& journal)
            : m_hosts(std::move(hosts))
            , m_baseVersion(baseVersion)
            , m_random(seed)
            , m_journal(journal)
            , m_thread([this] { run(); })
        {
        }

        ~SoakOperator() { stop(); }

        void stop()
        {
            m_stopped = true;
            if (m_thread.joinable())
                m_thread.join();
        }

        // The parameter `note` of the last accepted change. Precondition: stop() was called.
        const std::string& acceptedNote() const { return m_acceptedNote; }
        // Precondition: stop() was called.
        const std::vector<CallRecord>& records() const { return m_records; }

    private:
        void run()
        {
            while (!m_stopped) {
                submitChange();
                std::this_thread::sleep_for(Millis(static_cast<int64_t>(m_random.uniformBelow(MAX_PAUSE_MS))));
            }
        }

        void submitChange()
        {
            std::string note = "c" + std::to_string(++m_changeCount);
            json body { { "template", "t" }, { "parameters", { { "host", "a.example" }, { "note", note } } },
                { "request_id", base::makeUuidV7(wallMs()) }, { "base_version", m_baseVersion } };
            auto request = Mesh::operatorRequest("PUT", "/v1/accounts/a", body.dump());
            auto giveUpAt = wallMs() + ANSWER_LIMIT.count();
            // Ends with the answer, since a change without one may have been accepted.
            for (size_t i = m_random.uniformBelow(m_hosts.size());; i = (i + 1) % m_hosts.size()) {
                if (wallMs() > giveUpAt)
                    return m_journal.addViolation("change " + note + " got no answer from any control host");
                CallRecord record { note, m_hosts[i].first, request.method, request.path };
                CallerConnection connection;
                if (!connection.ensureOpen(m_hosts[i].second)) {
                    std::this_thread::sleep_for(CONNECT_PAUSE);
                    continue;
                }
                connection.exchange(request, Millis(0), record);
                m_records.push_back(record);
                if (record.end != CallEnd::Answered || record.response.status == STATUS_UNAVAILABLE)
                    continue;
                auto answer = json::parse(record.response.body, nullptr, false);
                if (record.response.status != STATUS_OK || !answer.contains("version"))
                    return m_journal.addViolation("change " + note + " on version " + std::to_string(m_baseVersion)
                        + " got " + std::to_string(record.response.status) + " from " + m_hosts[i].first + ": "
                        + record.response.body);
                m_baseVersion = answer["version"];
                m_acceptedNote = note;
                return m_journal.count("accepted changes");
            }
        }

        static constexpr uint64_t MAX_PAUSE_MS = 400;
        static constexpr auto ANSWER_LIMIT = Millis(60000); // much longer than all control hosts take to stop and start
        static constexpr int STATUS_OK = 200;
        static constexpr int STATUS_UNAVAILABLE = 503;

        std::vector<std::pair<std::string, base::Address>> m_hosts;
        int64_t m_baseVersion;
        Random m_random;
        Journal& m_journal;
        int m_changeCount { 0 };
        std::string m_acceptedNote;
        std::vector<CallRecord> m_records;
        std::atomic<bool> m_stopped { false };
        std::thread m_thread;
    };

    // ---- the run ----

    class Soak {
    public:
        explicit Soak(const SoakOptions& options)
            : m_options(options)
            , m_random(options.seed)
            , m_graceMs(static_cast<int64_t>(MIN_GRACE_MS + m_random.uniformBelow(MAX_GRACE_MS - MIN_GRACE_MS)))
            , m_slowMs(static_cast<int>(MIN_SLOW_MS + m_random.uniformBelow(MAX_SLOW_MS - MIN_SLOW_MS)))
            , m_boundsStops(m_random.bernoulli(BOUNDED_RATIO))
            , m_controlStops(m_boundsStops ? 1 : options.controlHosts)
            , m_nodeStops(m_boundsStops ? MAX_STOPPING_NODES : options.nodes)
            , m_mesh(makeMeshOptions())
        {
        }

        SoakReport run()
        {
            startMesh();
            startCallers();
            runPlans(m_options.acts);
            m_operator->stop();
            checkConfiguration();
            stopAll();
            std::vector<CallRecord> records;
            for (auto& it : m_callers) {
                auto more = it->stop();
                records.insert(records.end(), more.begin(), more.end());
            }
            // Targets end before their logs are read, so that a run that comes late is seen.
            for (const auto& it : m_targets)
                m_mesh.terminate(it);
            for (const auto& it : m_targets)
                m_mesh.waitForExit(it, END_LIMIT);
            checkCalls(records);
            for (const auto& it : m_operator->records())
                checkEnd(it, false);
            return m_journal.report(m_mesh.folder());
        }

    private:
        MeshOptions makeMeshOptions()
        {
            MeshOptions out;
            out.nodes = m_options.nodes;
            out.controlHosts = m_options.controlHosts;
            out.serviceMs = static_cast<int>(2 + m_random.uniformBelow(8));
            out.extraNodeSettings = "drain_grace_ms: " + std::to_string(m_graceMs) + "\n";
            return out;
        }

        void startTarget(const std::string& service, int node, const std::string& more)
        {
            std::string name = service + "-" + std::to_string(node);
            m_mesh.startTarget({ name, service, "v1", node, "gets_log: " + m_mesh.folder() + "/gets.txt\n" + more });
            m_targets.push_back(name);
        }

        void startMesh()
        {
            m_journal.print("seed " + std::to_string(m_options.seed) + ", " + std::to_string(m_options.nodes)
                + " nodes, " + (m_boundsStops ? "few" : "any") + " stops at a time, grace " + std::to_string(m_graceMs)
                + " ms, service times " + std::to_string(m_mesh.options().serviceMs) + " and "
                + std::to_string(m_slowMs) + " ms, logs in " + m_mesh.folder());
            m_mesh.startAll();
            for (int i = 0; i < m_options.nodes; ++i) {
                startTarget("fast", i, "");
                startTarget("slow", i,
                    "bad_kind: slow\nbad_factor: " + std::to_string(m_slowMs / m_mesh.options().serviceMs) + "\n");
                startTarget("outer", i,
                    "downstream_address: " + m_mesh.address("caller", i).text()
                        + "\ndownstream_host: a.example\ndownstream_path: " + (i % 2 ? "/slow/get" : "/get") + "\n");
            }
            m_mesh.createServices({ "fast", "slow", "outer" });
            bool started = m_mesh.waitUntilApplied(m_options.nodes);
            for (int i = 0; started && i < m_options.nodes; ++i)
                started = m_mesh.waitFor([&] { return servesKeyed(i); });
            if (!started)
                throw base::InternalFault("the mesh did not start; run with POMELOWIND_KEEP_LOGS=1 to keep its logs");
            for (int i = 0; i < m_options.controlHosts; ++i)
                addProcess(
                    "control-" + std::to_string(i), m_controlStops, [this, i] { m_mesh.startControl(i, false); });
            for (int i = 0; i < m_options.nodes; ++i)
                addProcess("node-" + std::to_string(i), m_nodeStops, [this, i] { m_mesh.startNode(i); });
            m_journal.print("the mesh has started");
        }

        // Keyed requests are the last that a new mesh serves, since it must first agree on claim holders.
        bool servesKeyed(int node)
        {
            http::HttpRequest request { "POST", "/post",
                { { "Host", "a.example" }, { "Idempotency-Key", base::makeUuidV7(wallMs()) } }, "" };
            return m_mesh.send(m_mesh.address("caller", node), request).status == 200;
        }

        void addProcess(const std::string& name, StopBound& stops, std::function<void()> start)
        {
            m_processes.push_back(std::make_unique<SoakProcess>(m_mesh, m_journal, stops, name, std::move(start)));
            m_processes.back()->readSettings();
        }

        void startCallers()
        {
            for (int i = 0; i < m_options.nodes; ++i) {
                for (int j = 0; j < m_options.callersPerNode; ++j)
                    m_callers.push_back(std::make_unique<SoakCaller>(SoakCallerOptions { "node-" + std::to_string(i),
                        m_mesh.address("caller", i), { "", "", "/slow", "/outer" }, m_random.next() }));
            }
            std::vector<std::pair<std::string, base::Address>> hosts;
            for (int i = 0; i < m_options.controlHosts; ++i)
                hosts.emplace_back("control-" + std::to_string(i), m_mesh.address("operator", i));
            auto version = m_mesh.readOperatorApi("/v1/accounts/a").value("base_version", int64_t { 0 });
            m_operator = std::make_unique<SoakOperator>(hosts, version, m_random.next(), m_journal);
        }

        void runPlans(int acts)
        {
            for (auto& it : m_processes)
                it->setPlan(PlanMaker(m_random.next(), m_graceMs).makePlan(acts));
            advanceUntilDone(m_processes.begin(), m_processes.end());
        }

        template <typename Iterator> void advanceUntilDone(Iterator begin, Iterator end)
        {
            bool isDone = false;
            while (!isDone) {
                isDone = true;
                for (auto it = begin; it != end; ++it) {
                    (*it)->advance();
                    isDone = isDone && (*it)->isDone();
                }
                std::this_thread::sleep_for(LOOP_PERIOD);
            }
        }

        void checkConfiguration()
        {
            bool isApplied = m_mesh.waitUntilApplied(m_options.nodes, SETTLE_LIMIT);
            if (!isApplied)
                m_journal.addViolation("not all nodes have applied the latest configuration");
            const auto& expected = m_operator->acceptedNote();
            for (int i = 0; i < m_options.controlHosts; ++i) {
                std::string note;
                m_mesh.waitFor(
                    [&] {
                        auto account = m_mesh.readOperatorApi("/v1/accounts/a", i);
                        note = account.value("parameters", json::object()).value("note", "");
                        return note == expected;
                    },
                    SETTLE_LIMIT);
                if (note != expected)
                    m_journal.addViolation(
                        "control-" + std::to_string(i) + " has change " + note + " instead of " + expected);
            }
            m_journal.print("all processes have the last accepted change " + expected);
        }

        // Nodes first, since control hosts take longer to notice that they are alone than they take to stop.
        void stopAll()
        {
            m_controlStops.lift();
            m_nodeStops.lift();
            for (auto& it : m_processes)
                it->setPlan(PlanMaker(m_random.next(), m_graceMs).makeLastStop());
            auto nodes = m_processes.begin() + m_options.controlHosts;
            advanceUntilDone(nodes, m_processes.end());
            advanceUntilDone(m_processes.begin(), nodes);
        }

        // ---- checks after the run ----

        void checkCalls(const std::vector<CallRecord>& records)
        {
            auto runs = m_mesh.runCountsByKey();
            auto gets = m_mesh.runCounts("gets.txt");
            for (const auto& [id, n] : runs) {
                if (n > 1)
                    m_journal.addViolation(id + " ran " + std::to_string(n) + " times");
            }
            std::ofstream log(m_mesh.folder() + "/calls.txt");
            for (const auto& it : records) {
                const auto& runsOfKind = it.method == "GET" ? gets : runs;
                bool hasRun = runsOfKind.count(it.id) > 0;
                log << describe(it, hasRun) << '\n';
                if (it.end == CallEnd::Answered)
                    checkAnswer(it, hasRun);
                else
                    checkEnd(it, hasRun);
            }
        }

        std::string describe(const CallRecord& it, bool hasRun) const
        {
            std::ostringstream out;
            out << std::fixed << std::setprecision(3) << it.method << " " << it.path << " " << it.id << " at "
                << it.process << ", sent at " << m_journal.seconds(it.sentMs) << " s, ended at "
                << m_journal.seconds(it.endedMs) << " s, " << (hasRun ? "ran" : "did not run");
            if (it.end == CallEnd::Answered)
                out << ", answered " << it.response.status << " "
                    << http::findHeader(it.response.headers, "X-Pomelowind-Outcome");
            else
                out << ", end " << static_cast<int>(it.end);
            return out.str();
        }

        void checkAnswer(const CallRecord& it, bool hasRun)
        {
            constexpr int STATUS_OK = 200;
            int status = it.response.status;
            auto outcome = http::findHeader(it.response.headers, "X-Pomelowind-Outcome");
            m_journal.count(std::to_string(status) + " " + std::string(outcome));
            std::string text = describe(it, hasRun);
            bool isPromise = status == 503 || status == 429 || status == 408 || status == 421 || outcome == "not-run";
            if (isPromise && hasRun)
                m_journal.addViolation("refused, but ran: " + text);
            if (status != STATUS_OK) {
                if (!isPromise && status < 500)
                    m_journal.addViolation("denied: " + text + " " + it.response.body);
                return;
            }
            if (!hasRun || it.response.body.find("|" + it.path + "|" + it.id + "|") == std::string::npos)
                m_journal.addViolation("wrong answer: " + text + " " + it.response.body);
        }

        void checkEnd(const CallRecord& it, bool hasRun)
        {
            if (it.end == CallEnd::Answered)
                return;
            if (it.end == CallEnd::Silent)
                return m_journal.addViolation("no answer: " + describe(it, hasRun));
            bool isCut = it.end == CallEnd::Cut && (it.partialResponse || it.heldMs > CROSSING_MS);
            if (isCut || hasRun)
                return m_journal.addViolation("cut without an answer after " + std::to_string(it.heldMs) + " ms"
                    + (it.partialResponse ? ", in the answer" : "") + ": " + describe(it, hasRun));
            m_journal.count(it.end == CallEnd::Cut ? "crossed a close" : "not read");
        }

        SoakOptions m_options;
        Random m_random;
        int64_t m_graceMs;
        int m_slowMs;
        bool m_boundsStops; // otherwise all processes may stop at the same time
        StopBound m_controlStops;
        StopBound m_nodeStops;
        Journal m_journal;
        Mesh m_mesh;
        std::vector<std::unique_ptr<SoakProcess>> m_processes; // control hosts, then nodes
        std::vector<std::string> m_targets;
        std::unique_ptr<SoakOperator> m_operator;
        std::vector<std::unique_ptr<SoakCaller>> m_callers;
    };

}

SoakReport runSoak(const SoakOptions& options) { return Soak(options).run(); }

} // namespace pomelowind::bench
