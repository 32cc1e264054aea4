// Messages between pomelowind's own processes, and the records of the durable log.
// A frame on a link is: u32 length, u8 kind (FrameKind), Thrift compact payload.
namespace cpp pomelowind.wire

enum FrameKind {
  HELLO = 1, PROOF = 2,
  VOTE_REQUEST = 10, VOTE_ANSWER = 11, APPEND_REQUEST = 12, APPEND_ANSWER = 13,
  SNAPSHOT_REQUEST = 14, FORWARD_REQUEST = 16, FORWARD_ANSWER = 17, MEMBER_REPORT = 18,
  SUBSCRIBE = 20, SUBSCRIBE_ANSWER = 21, DELTA = 22, REPORT = 23, SPREAD = 24,
  DIGEST = 25, DIGEST_ANSWER = 26, FRESHNESS_REQUEST = 27, FRESHNESS_ANSWER = 28, USAGE = 29,
  CALL_REQUEST = 40, CALL_ANSWER = 41, CALL_CANCEL = 42,
  CLAIM_REQUEST = 43, CLAIM_ANSWER = 44, PING = 45, PONG = 46, CALL_GRANT = 47, CALL_BODY = 48
}

// ---- links ----
struct Hello { 1: string mesh, 2: string role, 3: string id, 4: string nonce }
struct Proof { 1: string mac }

// ---- configuration carried to nodes ----
struct SplitPart { 1: string serviceName, 2: i32 weight }
struct Route {
  1: string host, 2: string path, 3: list<string> methods, 4: string serviceName,
  5: i32 timeoutMs, 6: bool idempotent,
  7: string name, 8: i32 objectiveMs, 9: i32 priority, 10: i32 maxAttempts, 11: list<SplitPart> split, 12: bool largeBody,
  // Calls need no key of a client account.
  13: bool withoutAccount
}
struct AccountResource {
  1: string name, 2: string templateName, 3: list<Route> routes,
  4: double ratePerSecond, 5: double burst, 6: i32 priority
}
struct ServiceResource {
  1: string name, 2: string stable, 3: string candidate, 4: i32 permille,
  5: string moveId, 6: i32 step, 7: i32 grantMs, 8: string healthPath, 9: i32 maxConnections,
  10: string excluded,
  // How long a started target is cold, and the calls per second that it accepts meanwhile; 0: no limit.
  11: i32 coldStartMs, 12: double coldCallsPerSecond
}
// A client account of a release. Nodes know only the SHA-256 digests of its keys.
struct ClientAccount {
  1: string name, 2: list<binary> keyDigests, 3: i32 priority, 4: double ratePerSecond, 5: double burst
}
// No call may reach the targets of this data centre.
struct Evacuation { 1: string dataCentre }
// Bounds on what callers may send, and the number of the release that set them.
struct ReleaseResource {
  1: i64 number, 2: i64 headerBytes, 3: i64 bodyBytes, 4: i32 headerTimeoutMs, 5: i32 idleTimeoutMs
}
struct ClaimHolder { 1: string node, 2: string address, 3: string dataCentre }
struct ClaimEpoch { 1: i64 epoch, 2: i64 fromMs, 3: list<ClaimHolder> holders }
struct ClaimRing { 1: list<ClaimEpoch> epochs }
struct Resource {
  1: string key, 2: i64 version,
  3: optional ServiceResource serviceResource, 4: optional AccountResource accountResource, 5: optional ClaimRing claimRing,
  6: optional Route route, 7: optional ReleaseResource releaseResource, 8: optional ClientAccount clientAccount,
  9: optional Evacuation evacuation
}
struct Tombstone { 1: string key, 2: i64 version }
struct Delta {
  1: i64 base, 2: i64 version, 3: list<Resource> changed, 4: list<Tombstone> removed, 5: i64 hash
}

// ---- durable log ----
enum EntryKind { NOOP = 0, COMMAND = 1, MEMBERSHIP = 2, REINSTATE = 3 }
struct Membership { 1: list<string> voters, 2: list<string> learners }
struct Reinstate { 1: string member, 2: string diskId }
struct Entry { 1: i64 index, 2: i64 term, 3: EntryKind kind, 4: binary data }
// `leader` is the last one that this host has followed: the only host whose lease may count on it.
struct HardState { 1: i64 term, 2: string votedFor, 3: string leader }
struct SnapshotRecord {
  1: i64 index, 2: i64 term, 3: Membership membership, 4: binary state
}

// ---- control to control ----
struct VoteRequest {
  1: i64 term, 2: bool preVote, 3: i64 lastIndex, 4: i64 lastTerm
}
struct VoteAnswer { 1: i64 term, 2: bool preVote, 3: bool granted }
struct AppendRequest {
  1: i64 term, 2: i64 prevIndex, 3: i64 prevTerm, 4: list<Entry> entries, 5: i64 commit, 6: i64 round
}
struct AppendAnswer {
  1: i64 term, 2: bool success, 3: i64 match, 4: i64 round, 5: bool recovering, 6: string diskId
}
struct SnapshotRequest { 1: i64 term, 2: SnapshotRecord snapshot, 3: i64 round }
struct ForwardRequest { 1: i64 id, 2: binary command }
struct ForwardAnswer { 1: i64 id, 2: bool notLeader, 3: binary result }

// ---- commands and what they leave behind ----
struct ServiceSpec {
  1: string name, 2: string healthPath, 3: i32 maxConnections, 4: i32 coldStartMs, 5: double coldCallsPerSecond
}
// A whole configuration in one submission. `document` is what the operator sent, kept for reading back.
struct Release {
  1: ReleaseResource header, 2: i64 baseNumber, 3: list<Route> routes, 4: list<ServiceSpec> services, 5: binary document,
  6: list<ClientAccount> accounts
}
enum CommandKind {
  SET_SERVICE = 1, REMOVE_SERVICE = 2, SUBMIT_TEMPLATE = 3, SET_ACCOUNT = 4, REMOVE_ACCOUNT = 5,
  START_MOVE = 6, TAKE_BACK_MOVE = 7, MOVE_EVENT = 8, CLAIM_EPOCH = 9, DENIED = 10, SOURCE_UPDATE = 11, SUBMIT_RELEASE = 12,
  START_EVACUATION = 13, FINISH_EVACUATION = 14, RECORD_DEPARTURES = 15
}
enum MoveEventKind { RAISE = 1, REACHED_ALL = 2, BAD = 3, WATCH_ENDED = 4, LATE = 5, ASKED_BACK = 6, PAUSE = 7, RESUME = 8 }
struct MoveEvent { 1: string moveId, 2: i32 step, 3: MoveEventKind kind, 4: i32 permille, 5: string reason, 6: i32 slotsNeeded }
struct MoveAsk {
  1: string id, 2: string serviceName, 3: string toVersion, 4: i64 deadlineMs, 5: i64 watchMs,
  6: i32 exposurePermille, 7: i64 durationMs
}
// What an incarnation of a target has said of its departure; see Presence. `timeMs` is when it was recorded.
struct Departure { 1: string target, 2: i64 incarnation, 3: i64 noticeSequence, 4: i64 timeMs }
struct Command {
  1: CommandKind kind, 2: string requestId, 3: string actor, 4: string team, 5: i64 timeMs,
  6: i64 baseVersion, 7: string name, 8: string body, 9: map<string, string> parameters,
  10: optional MoveAsk move, 11: optional MoveEvent moveEvent, 12: optional ClaimEpoch claimEpoch,
  13: string templateName, 14: i64 sourceSequence, 15: optional Release release, 16: optional list<Departure> departures
}
enum ResultCode {
  ACCEPTED = 0, CONFLICT = 1, INVALID = 2, NOT_FOUND = 3, DENIED = 4, BUSY = 5, UNAVAILABLE = 6, UNCHANGED = 7
}
struct CommandResult { 1: ResultCode code, 2: i64 version, 3: string message, 4: string remedy }
struct AuditRecord {
  1: i64 index, 2: i64 timeMs, 3: string actor, 4: string team, 5: string action, 6: string subject,
  7: i64 fromVersion, 8: i64 toVersion, 9: ResultCode code, 10: string message, 11: string requestId
}
struct RememberedResult { 1: string requestId, 2: i64 timeMs, 3: CommandResult result, 4: i64 fingerprint }
struct TemplateRecord { 1: string name, 2: i64 version, 3: string body, 4: i64 sourceSequence }
struct AccountRecord { 1: string name, 2: i64 version, 3: string templateName, 4: map<string, string> parameters, 5: i64 sourceSequence }
enum MoveState { PLANNED = 0, RAISING = 1, PAUSED = 2, WATCHING = 3, DONE = 4, TAKEN_BACK = 5 }
struct MoveRecord {
  1: string id, 2: string serviceName, 3: string fromVersion, 4: string toVersion, 5: i64 startedMs,
  6: i64 deadlineMs, 7: i64 watchMs, 8: MoveState state, 9: i32 step, 10: i32 permille,
  11: i64 stepMs, 12: i64 reachedMs, 13: string reason, 14: bool late, 15: string actor, 16: i64 endedMs,
  17: i32 slotsNeeded, 18: i32 exposurePermille
}
struct MachineImage {
  1: i64 version, 2: list<Resource> resources, 3: list<Tombstone> tombstones, 4: list<TemplateRecord> templates,
  5: list<AccountRecord> accounts, 6: list<MoveRecord> moves, 7: list<AuditRecord> audit,
  8: list<RememberedResult> remembered, 9: i64 tombstoneFloor, 10: i64 auditCount,
  11: i64 releaseNumber, 12: binary releaseDocument, 13: list<Departure> departures
}

// ---- presence and evidence ----
enum TargetState { STARTING = 0, SERVING = 1, LEAVING = 2, GONE = 3 }
struct Presence {
  1: string target, 2: string serviceName, 3: string version, 4: string dataCentre, 5: string node,
  6: string callAddress, 7: i64 incarnation, 8: i64 sequence, 9: TargetState state, 10: i32 slots, 11: i32 coldLeftMs,
  // Start of the target's own process; `incarnation` also rises when the node beside it restarts.
  12: i64 targetIncarnation,
  // What this incarnation of the target has said last of its departure: the number of that announcement (0 when the
  // target numbers none, the highest when no later one can take it back), and whether it leaves.
  13: i64 noticeSequence, 14: bool leaves,
  // This notice is in the log of the control hosts, so that it outlives a restart of all processes.
  15: bool recorded
}
struct NodeInfo {
  1: string node, 2: string dataCentre, 3: string meshAddress, 4: string callAddress, 5: i64 incarnation,
  6: i64 sequence, 7: bool gone,
  // Set with `gone` when the node itself has announced its stop, so that it runs no more calls.
  8: bool stopped
}
struct NodeAck { 1: string node, 2: i64 version, 3: string rejection }
enum EvidenceDimension { ROUTE = 0, ACCOUNT = 1, TARGET = 2 }
struct EvidenceCell {
  1: string serviceName, 2: string version, 3: EvidenceDimension dimension, 4: string value, 5: string dataCentre,
  6: i64 calls, 7: i64 failures, 8: map<i16, i64> latency
}
struct Alarm { 1: string moveId, 2: i32 step, 3: string node, 4: string reason }
// Crash of one incarnation of a target. `calls` are the fingerprints of those that ran there, `cleared` of those among
// them that have ended with a response since.
struct TargetCrash { 1: string target, 2: i64 incarnation, 3: list<i64> calls, 4: list<i64> cleared }

// Calls of client accounts since the last report, as parallel lists, which keep a report of a few calls at some 20
// bytes. `accounts` are callers::quotaId() of the names. `refused` of the offered calls have not run: refused for the
// limit, or later for another reason; unset: none. The calls were offered within `spans`
// tenths of a second; unset: 2.
struct AccountUsage {
  1: list<i64> accounts, 2: list<i32> offered, 3: optional list<i32> refused, 4: optional list<i32> spans
}
// Part of the offered calls of a client account that nodes may admit. 1000: all, but the account is near its limit.
struct AccountRatio { 1: i64 account, 2: i32 permille }

// ---- distribution ----
// Proof that a configuration is the newest. `sentAt` is the sender's monotonic time in milliseconds, returned unchanged.
struct FreshnessRequest { 1: i64 sentAt }
// The answering host knew at most `ageMs` before it answered that `version` was the newest; below 0: it has no proof.
struct FreshnessAnswer { 1: i64 sentAt, 2: i64 ageMs, 3: i64 version }
struct Beacon { 1: i64 term, 2: i64 sequence, 3: i64 version, 4: i64 claimsThroughMs }
struct Subscribe { 1: NodeInfo node, 2: i64 base, 3: i64 hash }
struct SubscribeAnswer {
  1: bool admitted, 2: i32 retryAfterMs, 3: i64 version, 4: i64 floor, 5: list<NodeInfo> directory,
  6: bool fresh, 7: list<string> controlHosts
}
struct Report {
  1: list<NodeInfo> nodes, 2: list<Presence> targets, 3: list<EvidenceCell> evidence, 4: list<Alarm> alarms,
  5: list<NodeAck> acks, 6: list<TargetCrash> crashes, 7: optional AccountUsage usage
}
// `accountRatios`: the whole list of the leader; accounts that are not in it have no ratio. Unset: unchanged.
struct MemberReport {
  1: Report report, 2: optional Beacon beacon, 3: list<string> members, 4: optional list<AccountRatio> accountRatios
}
// `complete`: with this message, the receiver has all departures that were recorded before it subscribed.
struct Spread {
  1: list<NodeInfo> nodes, 2: list<Presence> targets, 3: optional Beacon beacon, 4: list<string> controlHosts,
  5: list<TargetCrash> crashes, 6: optional list<AccountRatio> accountRatios, 7: bool complete
}
struct Digest { 1: i64 version, 2: i64 hash, 3: list<i64> buckets }
// `complete` as in Spread.
struct DigestAnswer {
  1: i64 version, 2: optional Delta delta, 3: list<Presence> targets, 4: list<NodeInfo> nodes, 5: bool complete
}

// ---- calls ----
enum Outcome { RAN = 0, NOT_RUN = 1, UNKNOWN = 2 }
struct Header { 1: string name, 2: string value }
struct CallRequest {
  1: i64 id, 2: string method, 3: string path, 4: list<Header> headers, 5: binary body, 6: i32 budgetMs,
  7: string serviceName, 8: string target, 9: string account, 10: i32 priority,
  11: i64 incarnation, 12: string requestId, 13: string callerService, 14: i32 objectiveMs, 15: bool mayWait = true,
  16: bool nested, 17: i32 usualMs,
  // Above 0: the body has this many bytes and follows in parts, once the gate has granted a place.
  18: i64 laterBytes,
  // The longest wait at the gate that is better than a refusal; 0 when there is no bound.
  19: i32 mostWaitMs,
  // Calls per second that the target accepts, as the sender last heard; unset when it has heard of no limit.
  20: optional double maxCallsPerSecond,
  // Name of the client account whose key the call carries; empty when it carries none.
  21: string clientAccount,
  // Calls per second that cold targets of the service accept, as the sender's configuration says; unset: no limit. The
  // target's node uses it while it has no configuration.
  22: optional double coldCallsPerSecond
}
struct CallAnswer {
  1: i64 id, 2: Outcome outcome, 3: i32 status, 4: list<Header> headers, 5: binary body,
  6: i32 inFlight, 7: i32 queued, 8: string reason, 9: i32 retryAfterMs, 10: bool fault, 11: bool refused, 12: bool cold, 13: bool arrived, 14: bool timedOut,
  15: i64 runMicros, 16: i64 typicalMicros,
  // Calls per second that the target accepts, as its gate knows; unset when it has no limit or the gate knows of none.
  17: optional double maxCallsPerSecond,
  // The target has said in a response that it leaves.
  18: bool leaving
}
struct CallCancel { 1: i64 id }
// A place at the gate for a call whose body is to follow.
struct CallGrant { 1: i64 id }
struct CallBody { 1: i64 id, 2: binary part }
enum ClaimStep { TAKE = 0, COMPLETE = 1, RELEASE = 2, LOOK = 3 }
enum ClaimVerdict { GRANTED = 0, PENDING = 1, DONE = 2, BLIND = 3, CONFLICT = 4, FULL = 5, WRONG_EPOCH = 6, ABSENT = 7 }
struct ClaimRequest {
  1: i64 id, 2: ClaimStep step, 3: string key, 4: i64 fingerprint, 5: string owner, 6: i64 epoch,
  7: optional CallAnswer answer
}
struct ClaimAnswer { 1: i64 id, 2: ClaimVerdict verdict, 3: optional CallAnswer answer }
