// Messages between the processes of the fleet.
//
// Times in messages are durations, since the clocks of two hosts are not
// comparable. The exceptions are clock readings, and their comments say so:
// - stamp, vote_stamp and sent_us are read only by the process that wrote them;
// - wall_ms is the time of the replicas' state machine, which never decreases;
//   the times of idempotency keys in its snapshots are derived from it;
// - born_ms and incarnation only order the states of one upstream or host.
// The unit of a duration is in its name: _ms for milliseconds.

enum Method {
  HELLO = 0
  ACQUIRE = 1
  RELEASE = 2
  ANNOUNCE = 3
  GOSSIP = 4
  FETCH_CONFIGURATION = 5
  SUBMIT = 6
  CLAIM_KEY = 7
  FINISH_KEY = 8
  RELEASE_KEY = 9
  CONSENSUS = 10
  STATUS = 11
  ADOPT = 12
  CANCEL = 13
  LIST_UPSTREAMS = 14
  FOLLOW = 15
  PUT_DOCUMENT = 16
  READ_DOCUMENT = 17
  PLACE = 18
  SETTLE = 19
  READ_MANIFEST = 20
  READ_CHUNKS = 21
  LEAVE_GROUP = 22
}

struct Envelope {
  1: i64 id
  2: i16 method
  3: binary payload
  4: i32 deadline_ms
  5: string trace
  // Name of the failure type; empty for a request and for a success.
  6: string failure
  // What the caller needs to continue after a failure; for NotLeader, the
  // address of the leader. Absent in envelopes of older processes.
  7: optional string detail
}

// First frame of each side.
struct Hello {
  1: binary nonce
  2: string member
  3: string host
  4: string role
}

// Second frame of each side: signature of both nonces, a direction label and
// the sender's member, host and role.
struct Proof {
  1: binary signature
}

struct AcquireSlot {
  1: string request
  2: string service_name
  3: string host
  4: string domain
  5: i16 priority
  6: i32 deadline_ms
  7: i16 attempt
  8: binary fingerprint
  9: list<string> excluded
  // Latest stamp of this allocator that the host received, as a vote for the
  // allocator; 0 for no vote.
  10: i64 vote_stamp
}

struct SlotDecision {
  1: string request
  // 0 if the request was refused.
  2: i64 lease
  3: string upstream
  4: string address
  5: i32 expires_ms
  6: bool is_trial
  // Value of RefusalReason; empty if granted.
  7: string reason
  8: i32 retry_after_ms
  // Time in which the host may start another of its requests on the slot.
  9: i32 pass_ms
  // Reading of the allocator's clock in microseconds, plus a random number that
  // its process chose; a vote returns it as vote_stamp.
  10: i64 stamp
}

struct SlotCompletion {
  1: i64 lease
  2: i16 result
  // Duration of the exchange in microseconds.
  3: i32 micros
  // Request that the host has started on the same slot; empty if none.
  4: string passed_to
}

struct ReleaseSlots {
  1: string service_name
  2: string host
  3: list<SlotCompletion> completions
  // As in AcquireSlot.
  4: i64 vote_stamp
}

struct CancelRequest {
  1: string service_name
  2: string request
}

// A host reports a lease that another owner granted to the new owner.
struct AdoptLease {
  1: string service_name
  2: string host
  3: i64 lease
  4: string upstream
  5: i32 expires_ms
  6: string domain
  7: i16 priority
  8: binary fingerprint
}

struct AnnounceUpstream {
  1: string service_name
  2: string upstream
  3: string address
  4: string region
  5: string domain
  6: i32 slots
  7: i32 connections
  // Value of UpstreamState.
  8: string state
  // Increases at each start of the upstream; it may be the start time.
  9: i64 incarnation
  // Milliseconds since the upstream sent the announcement.
  10: i32 age_ms
}

struct ListUpstreams {
  1: string service_name
  2: string host
}

struct UpstreamList {
  1: list<AnnounceUpstream> upstreams
  2: list<string> ejected
}

// Renews a vote and checks that the allocator answers.
struct Heartbeat {
  1: string service_name
  2: string host
  // As in AcquireSlot.
  3: i64 vote_stamp
  // Ejections that an earlier owner reported; sent to a new owner only.
  4: list<string> ejected
}

struct HeartbeatAnswer {
  // As in SlotDecision; 0 if the heartbeat names no service.
  1: i64 stamp
  // Digest of all fields of the rows except their ages.
  2: i64 table_digest
  // Age of each row, in the order of the upstream ids.
  3: list<i32> ages_ms
  4: list<string> ejected
}

struct Empty {
}

struct GossipUpdate {
  1: string host
  2: string address
  3: string region
  4: string domain
  // Start of the host in milliseconds since the epoch, by its clock. The host
  // raises it to refute the report that it failed.
  5: i64 incarnation
  // Value of HostState.
  6: string state
  7: string member
}

struct Gossip {
  // ping, ack or ping-request.
  1: string kind
  2: i64 sequence
  3: string sender
  4: string subject
  5: list<GossipUpdate> updates
  6: i64 configuration_version
}

struct FetchConfiguration {
  1: i64 known_version
  2: i32 wait_ms
}

struct Section {
  1: string file
  2: string name
  // Empty for a removed section.
  3: string text
  4: bool is_removed
  // Name of the preceding section in the new file; empty for the first one.
  5: string after
}

struct ConfigurationDelta {
  // 0 if the delta is the full text.
  1: i64 from_version
  2: i64 to_version
  3: list<Section> sections
}

struct SubmittedFile {
  1: string name
  2: string text
}

struct Submission {
  1: string id
  2: i64 based_on
  3: list<SubmittedFile> files
  4: string member
  5: binary signature
}

struct Finding {
  1: string file
  2: i32 line
  3: string key
  4: string expected
  5: string kind
}

struct SubmissionAnswer {
  // accepted, refused or conflict.
  1: string status
  2: i64 version
  3: list<Finding> findings
  4: list<string> differences
}

struct ClaimKey {
  1: string service_name
  2: string caller
  3: string key
  4: string attempt
  5: string host
  6: i32 deadline_ms
  7: binary fingerprint
}

struct StoredAnswer {
  1: i32 status
  2: list<list<string>> headers
  3: binary body
  4: bool is_complete
}

struct ClaimAnswer {
  // granted, running, finished, unknown, full, mismatch or released.
  1: string state
  2: StoredAnswer answer
}

struct FinishKey {
  1: string service_name
  2: string caller
  3: string key
  4: string attempt
  // finished or unknown.
  5: string state
  6: StoredAnswer answer
}

struct ReleaseKey {
  1: string service_name
  2: string caller
  3: string key
  4: string attempt
}

struct StatusReport {
  1: string json
}

struct ConsensusMessage {
  1: binary payload
}

// One entry of the replicated log.
struct LogEntry {
  1: i64 index
  2: i64 term
  // Value of EntryKind.
  3: i16 kind
  4: binary payload
}

struct ReplicaNode {
  1: string identity
  2: string address
}

struct MembershipRecord {
  1: list<ReplicaNode> voters
  2: list<ReplicaNode> learners
}

struct HardStateRecord {
  1: i64 term
  // Identity that received the vote of this term; empty if none.
  2: string vote
}

struct VoteRequest {
  1: string sender
  2: string to
  3: i64 term
  4: i64 last_index
  5: i64 last_term
  6: bool is_pre
  7: bool is_transfer
}

struct VoteReply {
  1: string sender
  2: string to
  3: i64 term
  4: bool is_granted
  5: bool is_pre
}

struct AppendRequest {
  1: string sender
  2: string to
  3: i64 term
  4: i64 prev_index
  5: i64 prev_term
  6: i64 commit
  // Reading of the leader's clock in microseconds. The reply returns it; the
  // leader computes its lease from it.
  7: i64 sent_us
  8: list<LogEntry> entries
}

struct AppendReply {
  1: string sender
  2: string to
  3: i64 term
  4: bool is_accepted
  // Last matching index, or the index to try next if refused.
  5: i64 index
  6: i64 prev_index
  // Copied from the request.
  7: i64 sent_us
  8: i64 last_index
}

struct SnapshotChunk {
  1: string sender
  2: string to
  3: i64 term
  4: i64 index
  5: i64 last_term
  6: MembershipRecord membership
  7: i64 offset
  8: i64 total
  9: binary payload
  // As in AppendRequest.
  10: i64 sent_us
}

struct SnapshotReply {
  1: string sender
  2: string to
  3: i64 term
  4: i64 index
  5: i64 offset
  // Copied from the chunk.
  6: i64 sent_us
}

struct TransferRequest {
  1: string sender
  2: string to
  3: i64 term
}

// Notifies a replica that it lost entries that it had acknowledged.
struct Expulsion {
  1: string sender
  2: string to
  3: i64 term
}

// Announces a replica that may not be a member yet.
struct Introduction {
  1: string sender
  2: string to
  3: string address
  4: bool is_formed
  // Identity of the replica whose initial membership the sender has agreed to
  // join, which may be its own; empty if there is none.
  5: string pledge
}

struct PackedMessage {
  // Name of the struct in payload.
  1: string kind
  2: binary payload
}

struct MessageBatch {
  1: string address
  2: list<PackedMessage> messages
}

// Command of the replicas' state machine.
struct Command {
  // Value of CommandKind.
  1: i16 kind
  2: binary payload
  // Wall time of the leader, in milliseconds since the epoch.
  3: i64 wall_ms
}

// Request to LEAVE_GROUP, from a replica that is about to stop.
struct LeaveGroup {
  1: string identity
}

// Answer to LEAVE_GROUP: whether the replica is no longer a member.
struct LeaveAnswer {
  1: bool is_removed
}

// The newest version of the configuration document.
struct DocumentState {
  1: i64 version
  // Empty if the body is in packed.
  2: binary body
  // The body, compressed with zlib. Absent in logs of earlier versions.
  3: optional binary packed
}

// Answer to PUT_DOCUMENT: the version that is stored afterwards.
struct DocumentAnswer {
  1: i64 held_version
}

// Snapshot of the replicas' state machine.
struct MachineSnapshot {
  1: binary configuration
  2: binary claims
  // Highest wall_ms of the applied commands.
  3: i64 wall_ms
  // Absent in snapshots of older replicas.
  4: optional DocumentState document
}

// One idempotency key in a snapshot of the replicas.
struct ClaimRecord {
  1: binary scope
  // Value of KeyState.
  2: i16 state
  3: string attempt
  4: string host
  5: binary fingerprint
  // Seconds since the epoch, derived from the wall_ms of commands.
  6: double deadline
  7: double expires
  // An encoded StoredAnswer.
  8: binary answer
  9: list<string> released
}

// The joined texts of a column and the length of each.
struct TextColumn {
  1: binary lengths
  2: binary joined
}

// Idempotency keys in a snapshot of the replicas, one column for each field,
// since one struct for each key takes about ten times as long to encode.
// Numbers are little-endian.
struct ClaimColumns {
  // Highest time of the commands so far, in seconds since the epoch.
  1: double now
  2: i64 count
  // 20 bytes each.
  3: binary scopes
  // One byte each, value of KeyState.
  4: binary states
  // Deadlines and expiries are in seconds since the epoch.
  5: binary deadlines
  6: binary expires
  7: TextColumn attempts
  8: TextColumn hosts
  // Length -1 if there is no fingerprint.
  9: TextColumn fingerprints
  10: TextColumn answers
  // Number of released attempts of each key, then the attempts of all keys.
  11: binary released_counts
  12: TextColumn released
}

// State of one upstream as reported by its latest heartbeat.
struct UpstreamRow {
  1: string upstream
  2: string service_name
  3: string address
  4: string domain
  5: i32 slots
  6: i16 state
  // Start of the upstream's incarnation in milliseconds since the epoch, as its
  // heartbeats report it; 0 if they do not. For the departure of an unknown
  // upstream that does not report it, the arrival by the clock of the replica.
  7: i64 born_ms
  8: i64 sequence
  // Remaining warm-up time when this row was sent.
  9: i32 warm_ms
}

// Long poll for changes at a replica after a position.
struct FollowChanges {
  1: string host
  2: string domain
  3: bool is_replica
  // Epoch and position of the last batch from this replica; zeros at first.
  4: i64 epoch
  5: i64 position
  6: i64 document_version
  7: i32 wait_ms
  // Address of the follower for this protocol.
  8: string address
  // Sum over the rows of the follower's table, see registry/digests.py. A follower
  // whose table equals that of the replica needs no rows. Absent: it gets all.
  9: optional i64 digest
  // Allocator that the host would ask now. Absent if it has no caps.
  10: optional string allocator
  // Sums over the rows of each part of the follower's table, see
  // registry/digests.py. It gets no rows of parts whose sums are equal.
  11: optional binary bucket_digests
}

// Address for this protocol of a replica or of a host that can substitute for
// one.
struct ReplicaPlace {
  1: string address
  2: string domain
}

// Chunks of the active configuration document of a replica.
struct DocumentManifest {
  1: i64 version
  2: binary digest
  // Ids of the chunks in order, 8 bytes each.
  3: binary chunks
}

struct ReadChunks {
  // Ids of the chunks that the follower lacks.
  1: binary chunks
  // Maximum bytes of the chunks before compression; the answer has at least
  // one chunk.
  2: i32 most_bytes
}

// The first of the requested chunks that the replica has.
struct ChunkBatch {
  1: binary packed
}

struct BlockedRequest {
  1: i64 fingerprint
  2: i32 left_ms
}

// A request that was lost at one incarnation of an upstream.
struct SuspectedRequest {
  1: i64 fingerprint
  2: string upstream
  3: i64 born_ms
  // Time since the loss.
  4: i32 age_ms
}

// An allocator asks the others for a part of the cap of a workspace.
struct CapAsk {
  // Hash of the name.
  1: i64 workspace
  // Time on the clock of the borrower in milliseconds.
  2: i64 stamp_ms
  // Millionths of the whole cap.
  3: i32 millionths
}

struct AllocatorHosts {
  1: string allocator
  2: i32 hosts
}

// An allocator lends a part of a cap for a second after the time of the ask.
struct CapLoan {
  1: i64 workspace
  2: string borrower
  // Copied from the ask.
  3: i64 stamp_ms
  4: i32 millionths
}

// Slots and work of a service at the allocator of a replica, and what its region
// lends to another one.
struct SpareCapacity {
  1: string service_name
  // Slots of the upstreams of the region.
  2: i32 slots
  // Thousandths of the slots that the offered work needs.
  3: i32 load_thousandths
  // Expected work of the queue.
  4: i32 queued_ms
  // Region to which slots are lent; absent for none.
  5: optional string borrower
  6: optional i32 lent
  // Regions of which the replica knows such rows of the service.
  7: optional list<string> heard
}

struct ChangeBatch {
  1: i64 epoch
  2: i64 position
  3: list<UpstreamRow> rows
  // Upstreams that sent a heartbeat after the position; for replicas only.
  5: list<string> heard
  // All upstreams from which no replica received a heartbeat recently.
  6: list<string> silent
  // The version to request with READ_MANIFEST. Field 8 was the document.
  7: i64 document_version
  9: list<ReplicaPlace> replicas
  10: bool has_quorum
  // Number of hosts that follow any replica.
  11: i32 hosts
  // Hosts that allocate when no replica of the region answers.
  12: list<ReplicaPlace> substitutes
  // Services of which many requests fail at the allocator of this replica.
  13: list<string> strained
  // Whether the replica has applied all recently committed entries.
  14: bool is_up_to_date
  // Requests that crash upstreams. A replica gets those that this one found.
  15: optional list<BlockedRequest> blocked
  // Requests that may crash upstreams; for replicas only.
  16: optional list<SuspectedRequest> suspected
  // Services that get too few requests at the allocator of this replica to keep
  // its upstreams in use; for replicas only. Absent if it gets no requests.
  17: optional list<string> underused
  // Loans of caps between allocators; for replicas only.
  18: optional list<CapAsk> cap_asks
  19: optional list<CapLoan> cap_loans
  // Hosts that follow this replica, by the allocator that they would ask.
  20: optional list<AllocatorHosts> allocator_hosts
  // Services that are short of slots in some region; for replicas only.
  21: optional list<SpareCapacity> spares
  // Upstreams that still run although another one has taken their address.
  22: optional list<string> upheld
}

// A host requests an upstream for a request, or repeats this while it waits.
struct PlaceRequest {
  1: string request
  2: string host
  // Distinguishes this start of the host from earlier ones.
  3: i64 incarnation
  4: string domain
  5: string service_name
  6: i32 size
  7: i16 priority
  8: i32 deadline_ms
  9: list<string> excluded
  10: bool is_repeat
  11: bool is_repeatable
  12: i32 objective_ms
  // Maximum time to delay the answer.
  13: i32 wait_ms
  // The same for requests with the same credentials, path and body.
  14: optional i64 fingerprint
  // Whether the retry budget of some allocator includes the request.
  15: optional bool is_counted
  // Workspace of the request, if it has one.
  16: optional string workspace
  // Requests per second and burst of its cap, and the version of the
  // configuration that they come from; absent without a cap.
  17: optional double cap_rate
  18: optional double cap_burst
  19: optional i64 cap_version
  // The same for all requests of a route.
  20: optional i32 route_class
  // Whether an earlier attempt may have run, so that the cap includes the
  // request; only with a cap.
  21: optional bool is_permitted
  // Number of hosts of the fleet that the host knows of; only with a cap.
  22: optional i32 fleet_hosts
  // Mean time between the requests of the host to any allocator. Only from hosts
  // that have placed a request with a cap, and not in repeats of a request.
  23: optional i32 interval_ms
  // Time since the host asked another allocator; absent if it has not, or if it
  // has turned only once lately.
  24: optional i32 elsewhere_ms
}

struct PlaceAnswer {
  // Value of placement.messages.Decision.
  1: i16 decision
  2: optional UpstreamRow row
  // Time after which a refused caller may retry.
  3: i32 retry_after_ms
}

// Result of a placed request at its upstream.
struct Settlement {
  1: string request
  2: string upstream
  // Value of placement.messages.Evidence.
  3: i16 evidence
  4: i32 took_ms
  // What the upstream asked of the host in its answer; absent if nothing. The
  // start of the incarnation that asked, in milliseconds since the epoch.
  5: optional i64 born_ms
  6: optional bool is_leaving
  // Time for which this host sends it nothing.
  7: optional i32 hold_ms
  // Whether the connection ended without an answer.
  8: optional bool is_reset
}

struct SettleRequests {
  1: string host
  2: list<Settlement> settlements
}
