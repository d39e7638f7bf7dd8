// Every numbered event of the programs: number, channel, level and meaning. docs/events.md is checked against it.
#pragma once

#include <cstdint>
#include <span>
#include <string>
#include <string_view>

namespace Berylport {

// One log channel per module.
enum class Channel : uint8_t {
    Node = 1,
    Http = 2,
    Peer = 3,
    Calls = 4,
    Admission = 5,
    Membership = 6,
    Configuration = 7,
    Patient = 8,
    Platform = 9,
    Operator = 10,
    Measure = 11,
};

std::string_view toText(Channel);

enum class Level : uint8_t {
    Debug,
    Info,
    Warning,
    Error,
};

std::string_view toText(Level);

// The number is the channel times 100 plus a number that is never used again for another event.
enum class Event : uint16_t {
    NodeStarted = 101,
    NodeDraining = 102,
    NodeStopped = 103,
    DrainCutShort = 104,
    TaskFailed = 105,
    TaskRestarted = 106,
    SettingsRejected = 107,
    PauseDetected = 108,
    StartFailed = 109,
    RestartLimitReached = 110,
    TargetAnnounced = 111,
    TargetStateChanged = 112,
    AnnouncementRejected = 113,
    TargetDeparted = 114,
    ReadinessChanged = 115,
    SettingsReloaded = 116,
    LogLinesDropped = 117,
    TargetLimitChanged = 118,
    TargetLimitMalformed = 119,
    TargetEnded = 120,
    TargetCold = 121,
    TargetWarm = 122,
    QuotasChanged = 123,
    QuotaOwnerReplaced = 124,

    RequestRejected = 201,
    CallerConnectionLimit = 202,
    CallerMemoryExceeded = 203,

    LinkOpened = 301,
    LinkClosed = 302,
    LinkRefused = 303,
    PeerMessageMalformed = 304,
    DatagramMalformed = 305,

    CallGivenUp = 401,
    CallOutcomeUnknown = 402,
    RetryBudgetExhausted = 403,
    LateReplyDropped = 404,
    AttemptSent = 405,
    CallAnswered = 406,
    CallerLeft = 407,
    CallEndedWithTarget = 408,

    AdmissionRefused = 501,
    AnswerDropped = 502,
    LedgerFull = 503,
    AdmissionQueued = 504,
    AdmissionStarted = 505,
    TargetAnswered = 506,

    MemberJoined = 601,
    MemberSuspected = 602,
    MemberDead = 603,
    MemberLeft = 604,
    SeedsUnavailable = 605,
    NodeCutOff = 606,
    NodeContactRestored = 607,
    SeedsFound = 608,
    ForeignSystem = 609,

    ConfigurationApplied = 701,
    ConfigurationRecorded = 702,
    ConfigurationAccepted = 703,
    ConfigurationPending = 704,
    CoordinatorElected = 705,
    CoordinatorSteppedDown = 706,
    NodeUnconfirmed = 707,
    NodeConfirmed = 708,
    ConfigurationMalformed = 709,
    ConfigurationHistoryLost = 710,
    SourceFollowed = 711,
    SourceNotFollowed = 712,
    ZonesEvacuated = 713,

    ActionAccepted = 801,
    ActionDone = 802,
    ActionInDoubt = 803,
    PartitionAcquired = 804,
    PartitionLost = 805,

    StoreUnavailable = 901,
    StoreRecovered = 902,
    RowMalformed = 903,
    StoreRestored = 904,

    OperatorChange = 1001,
    OperatorRejected = 1002,

    MeasuringSkipped = 1101,
};

struct EventInfo {
    Event event;
    Level level;
    std::string_view name;
    std::string_view meaning;
};

std::span<const EventInfo> eventCatalogue();
// The event ends a request that was not served; it holds all that was decided about it.
bool isOutcome(Event);
const EventInfo& describe(Event);
Channel channelOf(Event);

// "BP-101"; channels 10 and 11 have four digits.
std::string toText(Event);

} // namespace Berylport
